"""Which instances read the worker list for an allocator that can't.

Handles an allocator that is cut off from the store, or whose link is full.  If
every instance sent it the list at once, the lists would fill its link, and its
heartbeats would wait behind them.
"""

from collections.abc import Sequence
from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import values

# Age of the allocator's worker list above which others read the list for it, in
# periods in which the allocator reads it while it reaches the store.
STALE_PERIODS: Final = 2.2
# Instances that read the list first.
FIRST_RELAYS: Final = 2
# Time after which twice as many instances read it, in milliseconds: those
# before may be cut off from the store too.
DOUBLING_MS: Final = 1000


def is_relay(
    *,
    name: values.InstanceName,
    ranked: Sequence[values.InstanceName],
    list_age_ms: int,
    period_s: float,
) -> bool:
    """Return whether an instance reads the worker list for the allocator.

    Args:
        name: Name of the instance.
        ranked: Instances in the order in which they are asked.
        list_age_ms: Age of the allocator's worker list, in milliseconds.
        period_s: Period in which the allocator reads it, in seconds.
    """
    overdue_ms = list_age_ms - units.to_ms(STALE_PERIODS * period_s)
    if overdue_ms <= 0 or name not in ranked:
        return False
    relays = FIRST_RELAYS << overdue_ms // DOUBLING_MS
    return ranked.index(name) < relays
