"""Whether the allocator calls the workers itself or lets agents call them.

Direct calls are faster by a hop each way, and every task of a busy pool waits
for the call before it.  But all payloads and polls then pass one machine, so
only a machine with capacity to spare makes them itself.
"""

from typing import Final

# Bytes a second that the calls to one busy worker take: eight starts of 60 ms
# tasks with 1.2 kB of payload each, and as many polls, with their headers.
BYTES_PER_WORKER: Final = 20_000
# Share of the link that direct calls may take; heartbeats and the messages of
# owners share the link, and bursts double the traffic.
DIRECT_LINK_SHARE: Final = 0.25
# Workers up to which the calls leave processor time for decisions.
MAX_DIRECT_WORKERS: Final = 64
# Factor on both limits while calls are direct, so that single workers that come
# and go do not change the mode.
HYSTERESIS: Final = 1.25


def is_direct(
    *, workers: int, link_bytes_per_s: float, was_direct: bool
) -> bool:
    """Return whether the allocator calls the workers itself.

    Args:
        workers: Number of workers.
        link_bytes_per_s: Capacity of the allocator's link, in bytes a second.
        was_direct: Whether it has called them itself so far.
    """
    margin = HYSTERESIS if was_direct else 1
    affordable = link_bytes_per_s * DIRECT_LINK_SHARE / BYTES_PER_WORKER
    return workers <= min(affordable, MAX_DIRECT_WORKERS) * margin
