"""Finds free TCP ports for child processes."""

import fcntl
import os
import pathlib
import random
import socket
import tempfile
from typing import Final

# Below the ephemeral port range of the operating system.
FIRST_PORT: Final = 12_000
LAST_PORT: Final = 32_000
_HOST: Final = '127.0.0.1'
# Test processes run beside each other: each locks a file for each of its ports,
# which may not be in use yet. The locks end with the process.
_LOCKS: Final = pathlib.Path(tempfile.gettempdir(), 'guavaroad-ports')
_reserved: dict[int, int] = {}


def free_port() -> int:
    """Return a free port that no running test process was given."""
    chooser = random.SystemRandom()
    while True:
        port = chooser.randint(FIRST_PORT, LAST_PORT)
        if port not in _reserved and is_free(port) and _reserve(port):
            return port


def is_free(port: int) -> bool:
    """Return whether nothing listens on a port."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> bool:
    _LOCKS.mkdir(exist_ok=True)
    path = _LOCKS / str(port)
    lock = os.open(path, os.O_CREAT | os.O_RDWR)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _reserved[port] = lock
    return True
