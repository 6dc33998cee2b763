"""Digests of shared state, which show whether two instances have the same."""

import zlib
from collections.abc import Iterable

from guavaroad.domain.pool import peer_messages, worker


def digest_instances(instances: Iterable[peer_messages.Instance]) -> int:
    """Return the digest of a directory, in any order."""
    return _digest(instances)


def digest_workers(worker_infos: Iterable[worker.WorkerInfo]) -> int:
    """Return the digest of a worker list, in any order."""
    return _digest(worker_infos)


def _digest(entries: Iterable[object]) -> int:
    texts = sorted(map(repr, entries))
    return zlib.crc32('\n'.join(texts).encode())
