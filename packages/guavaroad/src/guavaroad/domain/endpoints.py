"""Addresses of the form `host:port`."""

import ipaddress
from typing import Final

MOST_PORT: Final = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return host and port.

    Args:
        address: `host:port`.

    Raises:
        ValueError: There is no port, or it is no number.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def check_ip_address(address: str) -> None:
    """Check that connecting to an address needs no name lookup.

    Args:
        address: `host:port`.

    Raises:
        ValueError: The host is no IPv4 address, or the port is out of range.
    """
    host, port = split_address(address)
    ipaddress.IPv4Address(host)
    if not 0 < port <= MOST_PORT:
        raise ValueError(f'port {port} is not between 1 and {MOST_PORT}')
