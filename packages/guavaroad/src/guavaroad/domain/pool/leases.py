"""The lease of all runs on one worker, on the worker's clock.

No order extends it beyond `INHERITED_LEASE_S` after the last contact with the
owner of any run that the worker may have (`owner_contacts.py`).
"""

import dataclasses
from typing import Final

from guavaroad.domain import units

# Workers cap leases at 1 s; the rest covers the time in transit.
LEASE_MS: Final = 900
# A worker's clock may run up to 2 % slow, by the platform's documentation.
CLOCK_DRIFT_FACTOR: Final = 1.02
# Time after the last contact with its owner for which an allocator may let a
# run go on, in seconds. The next allocator of the owner counts it from the
# owner's declaration.
INHERITED_LEASE_S: Final = 1.1
# Longest time that an order may add to a lease, in seconds.
LONGEST_S: Final = LEASE_MS / units.MS_PER_S * CLOCK_DRIFT_FACTOR
# Shortest extension, in seconds: that for a poll that waits at the worker.
MIN_EXTENSION_S: Final = LEASE_MS / units.MS_PER_S / 2
# End of a lease without a limit.
UNLIMITED_S: Final = float('inf')


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """The clock of a worker and the time until which it may run tasks.

    Attributes:
        ends_s: Local time at which every run on the worker has lapsed.
        clock_ms: Last reading of the worker's clock; negative if none.
        clock_read_s: Local time of that reading.
    """

    ends_s: float
    clock_ms: int = -1
    clock_read_s: float = 0

    def has_clock(self) -> bool:
        """Return whether the worker's clock has been read."""
        return self.clock_ms >= 0

    def read_clock(self, clock_ms: int, now_s: float) -> None:
        """Record a reading of the worker's clock.

        Args:
            clock_ms: Worker's clock, in milliseconds.
            now_s: Local time at which the answer arrived, in seconds.
        """
        self.clock_ms = clock_ms
        self.clock_read_s = now_s

    def inherit(self, now_s: float) -> None:
        """Account for a lease that another allocator may have just granted."""
        self.ends_s = max(self.ends_s, now_s + INHERITED_LEASE_S)

    def extend(self, now_s: float, limit_s: float = UNLIMITED_S) -> int:
        """Extend the lease for the next order.

        Args:
            now_s: Current time, in seconds.
            limit_s: Local time at which the lease must have ended, in seconds.

        Returns:
            End of the lease on the worker's clock, in milliseconds.
        """
        elapsed_ms = (now_s - self.clock_read_s) * units.MS_PER_S
        until_ms = int(self.clock_ms + elapsed_ms) + LEASE_MS
        if limit_s < UNLIMITED_S:
            limit_ms = (limit_s - self.clock_read_s) * units.MS_PER_S
            limit_ms = self.clock_ms + limit_ms / CLOCK_DRIFT_FACTOR
            until_ms = max(min(until_ms, int(limit_ms)), 0)
        left_s = (
            (until_ms - self.clock_ms) / units.MS_PER_S * CLOCK_DRIFT_FACTOR
        )
        self.ends_s = max(self.ends_s, self.clock_read_s + left_s)
        return until_ms
