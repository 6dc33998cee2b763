"""Parsing and validation of `host:port` addresses."""

import ipaddress
from typing import Final

MAX_PORT: Final = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Args:
        address: `host:port`.

    Raises:
        ValueError: The port is missing or not a number.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def check_ip_address(address: str) -> None:
    """Check that an address can be connected to without a DNS lookup.

    Args:
        address: `host:port`.

    Raises:
        ValueError: The host is not an IPv4 address, or the port is out of
            range.
    """
    host, port = split_address(address)
    ipaddress.IPv4Address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port {port} is not between 1 and {MAX_PORT}')
