"""Free TCP ports for processes that are about to start."""

import random
import socket
from typing import Final

# Below the range that the system gives to outgoing connections.
_FIRST_PORT: Final = 12_000
_LAST_PORT: Final = 32_000
_HOST: Final = '127.0.0.1'
_given: set[int] = set()


def free_port() -> int:
    """Return a port that nobody listens on now, a new one each time."""
    chooser = random.SystemRandom()
    while True:
        port = chooser.randint(_FIRST_PORT, _LAST_PORT)
        if port not in _given and _is_free(port):
            _given.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
