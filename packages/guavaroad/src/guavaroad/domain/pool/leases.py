"""The lease of all runs on one worker, on the worker's clock."""

import dataclasses
from typing import Final

from guavaroad.domain import units

# Workers cap leases at 1 s; the rest covers the time in transit.
LEASE_MS: Final = 900
# A worker's clock may run up to 2 % slow, by the platform's documentation.
CLOCK_DRIFT_FACTOR: Final = 1.02
# Longest lease that a previous allocator may have granted.
INHERITED_LEASE_S: Final = 1.1


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

    def extend(self, now_s: float) -> int:
        """Extend the lease for the next order.

        Returns:
            End of the lease on the worker's clock, in milliseconds.
        """
        elapsed_ms = (now_s - self.clock_read_s) * units.MS_PER_S
        until_ms = int(self.clock_ms + elapsed_ms) + LEASE_MS
        left_s = (
            (until_ms - self.clock_ms) / units.MS_PER_S * CLOCK_DRIFT_FACTOR
        )
        self.ends_s = max(self.ends_s, self.clock_read_s + left_s)
        return until_ms
