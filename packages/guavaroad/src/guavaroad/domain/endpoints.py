"""Parsing and validation of `host:port` addresses."""

import ipaddress
from typing import Final

MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5
# Characters of an invalid port in an error message.
MAX_SHOWN: Final = 20


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
        ValueError: The host is not an IPv4 address, or the port is not a number
            in its usual form or is out of range.
    """
    host, _, port = address.rpartition(':')
    ipaddress.IPv4Address(host)
    # `int` also accepts spaces, signs, underscores and other digits.
    is_number = port.isascii() and port.isdecimal()
    if not is_number or len(port) > MAX_PORT_DIGITS:
        shown = port[:MAX_SHOWN]
        raise ValueError(f'port {shown!r} is not a number of up to 5 digits')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'port {port} is not between 1 and {MAX_PORT}')
