"""How often the allocator reads the worker list.

Each read transfers the whole list, some hundred kilobytes at hundreds of
workers; but a worker that is about to leave must soon get no more tasks.
"""

from typing import Final

from guavaroad.domain import units

# Time for which a draining worker may still get tasks, if the platform gives
# none, in milliseconds.
DEFAULT_DRAIN_MS: Final = 2000
# Reads of the list in that time, since a read may be lost or slow.
READS_PER_DRAIN: Final = 4
# Range of the period, in seconds. New workers are used a period later.
MIN_PERIOD_S: Final = 0.25
MAX_PERIOD_S: Final = 1.0


def read_period_s(drain_ms: float) -> float:
    """Return the period of reading the worker list, in seconds.

    Args:
        drain_ms: Time for which a draining worker may still get tasks, in
            milliseconds.
    """
    period_s = drain_ms / units.MS_PER_S / READS_PER_DRAIN
    return min(max(period_s, MIN_PERIOD_S), MAX_PERIOD_S)
