"""Certificate and key of an instance, and its trusted certificates."""

import dataclasses
import datetime
import pathlib
from typing import Any, Final

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from OpenSSL import SSL, crypto
from twisted.internet import ssl

_PEM_BEGIN: Final = b'-----BEGIN CERTIFICATE-----'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BadFile:
    """A file that can't be used for TLS.

    Attributes:
        path: The file.
        reason: What is wrong with it, without its contents.
    """

    path: pathlib.Path
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """A verified certificate chain with its private key.

    Attributes:
        chain: Certificates, the instance's own first.
        key: Private key of the first certificate.
    """

    chain: tuple[x509.Certificate, ...]
    key: Any

    def context_factory(self) -> Any:
        """Return the context factory for a listening port."""
        own, *intermediates = map(crypto.X509.from_cryptography, self.chain)
        return ssl.CertificateOptions(
            privateKey=crypto.PKey.from_cryptography_key(self.key),
            certificate=own,
            extraCertChain=intermediates,
        )


def read_trust(path: pathlib.Path) -> Any:
    """Read trusted certificates.

    Args:
        path: PEM file with one or more certificates.

    Returns:
        A trust root for `HttpClient`, or `BadFile`.
    """
    try:
        pem_text = path.read_bytes()
    except OSError as error:
        return BadFile(path=path, reason=str(error.strerror))
    certificates = [
        _PEM_BEGIN + part for part in pem_text.split(_PEM_BEGIN)[1:]
    ]
    if not certificates:
        return BadFile(path=path, reason='holds no PEM certificate')
    try:
        roots = [ssl.Certificate.loadPEM(pem) for pem in certificates]
    except (ValueError, SSL.Error):
        return BadFile(path=path, reason='holds a broken PEM certificate')
    return ssl.trustRootFromCertificates(roots)


def read_identity(
    certificate_file: pathlib.Path, key_file: pathlib.Path
) -> Identity | BadFile:
    """Read a certificate chain and its key, and check that they match.

    Args:
        certificate_file: PEM chain, the instance's own first.
        key_file: PEM private key without a password.

    Returns:
        The identity, or the bad file and what is wrong with it.
    """
    chain = _read_chain(certificate_file)
    match chain:
        case BadFile():
            return chain
    key = _read_key(key_file)
    match key:
        case BadFile():
            return key
    own = chain[0]
    if own.public_key() != key.public_key():
        return BadFile(
            path=key_file, reason=f'is not the key of {certificate_file}'
        )
    if own.not_valid_after_utc < datetime.datetime.now(datetime.UTC):
        return BadFile(
            path=certificate_file,
            reason=f'expired at {own.not_valid_after_utc}',
        )
    return Identity(chain=chain, key=key)


def _read_chain(path: pathlib.Path) -> tuple[x509.Certificate, ...] | BadFile:
    try:
        return tuple(x509.load_pem_x509_certificates(path.read_bytes()))
    except OSError as error:
        return BadFile(path=path, reason=str(error.strerror))
    except ValueError:
        return BadFile(path=path, reason='holds no PEM certificate')


def _read_key(path: pathlib.Path) -> Any:
    try:
        return serialization.load_pem_private_key(path.read_bytes(), None)
    except OSError as error:
        return BadFile(path=path, reason=str(error.strerror))
    except (ValueError, TypeError):
        return BadFile(path=path, reason='holds no PEM key without a password')
