"""Finds free TCP ports for child processes."""

import random
import socket
from typing import Final

# Below the ephemeral port range of the operating system.
_FIRST_PORT: Final = 12_000
_LAST_PORT: Final = 32_000
_HOST: Final = '127.0.0.1'
_reserved: set[int] = set()


def free_port() -> int:
    """Return a free port that was not returned before."""
    chooser = random.SystemRandom()
    while True:
        port = chooser.randint(_FIRST_PORT, _LAST_PORT)
        if port not in _reserved and _is_free(port):
            _reserved.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
