"""Bytes as base64 text, as rows of a store hold them."""

import base64
import binascii

from guavaroad.ports import logs

_log = logs.logger_of('platform')


def encode(body: bytes) -> str:
    """Encode bytes as base64 text."""
    return base64.b64encode(body).decode('ascii')


def decode(text: str) -> bytes:
    """Return the bytes of base64 text; empty, and logged, if it is invalid."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        _log.debug('stored value is not valid base64: {}', error)
        return b''
