"""Addresses of instances as the operator writes them."""

import dataclasses
from collections.abc import Iterable
from urllib import parse as urls

from guavaroadctl import reports


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Where one instance listens.

    Attributes:
        scheme: `http` or `https`.
        address: `host:port`.
    """

    scheme: str
    address: str

    def url(self, path: str) -> str:
        """Return the URL of a path."""
        return f'{self.scheme}://{self.address}{path}'


def parse_all(
    texts: Iterable[str],
) -> tuple[Endpoint, ...] | reports.Problem:
    """Read a list of addresses.

    Args:
        texts: Each `host:port`, with or without a scheme.

    Returns:
        The endpoints, or what is wrong with the first bad one.
    """
    found = []
    for text in texts:
        endpoint = parse(text)
        if endpoint is None:
            return reports.usage(
                f'--address: {text!r} is not ip:port or https://ip:port'
            )
        found.append(endpoint)
    if not found:
        return reports.usage('--address: names no instance')
    return tuple(found)


def parse(text: str) -> Endpoint | None:
    """Read one address; none if it is not one."""
    whole = text if '://' in text else f'http://{text}'
    try:
        parts = urls.urlsplit(whole)
        port = parts.port
    except ValueError:
        return None
    plain = parts.path in {'', '/'} and not parts.query
    if parts.scheme not in {'http', 'https'} or not plain or not port:
        return None
    return Endpoint(scheme=parts.scheme, address=parts.netloc)
