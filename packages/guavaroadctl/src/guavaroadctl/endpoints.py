"""Parses instance addresses given on the command line."""

import dataclasses
from collections.abc import Iterable
from urllib import parse as urls

from guavaroadctl import reports


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Client endpoint of an instance.

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
    """Parse a list of addresses.

    Args:
        texts: Addresses `host:port`, each with or without a scheme.

    Returns:
        The endpoints, or a problem that names the first invalid address.
    """
    parsed = []
    for text in texts:
        endpoint = parse(text)
        if endpoint is None:
            return reports.usage(
                f'--address: {text!r} is not ip:port or https://ip:port'
            )
        parsed.append(endpoint)
    if not parsed:
        return reports.usage('--address: no address given')
    return tuple(parsed)


def parse(text: str) -> Endpoint | None:
    """Return the endpoint for an address, or None if it is invalid."""
    url = text if '://' in text else f'http://{text}'
    try:
        parts = urls.urlsplit(url)
        port = parts.port
    except ValueError:
        return None
    is_origin = parts.path in {'', '/'} and not parts.query
    if parts.scheme not in {'http', 'https'} or not is_origin or not port:
        return None
    return Endpoint(scheme=parts.scheme, address=parts.netloc)
