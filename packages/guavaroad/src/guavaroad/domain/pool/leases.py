"""The lease of everything that runs on one worker, on the worker's clock."""

import dataclasses
from typing import Final

from guavaroad.domain import units

# Workers cut longer leases to their maximum of 1 s; the rest is for the way.
LEASE_MS: Final = 900
# A worker's clock may run 2 % slow by the platform's page.
SLOWEST_CLOCK: Final = 1.02
# Longest lease that another allocator may have given before this one.
INHERITED_LEASE_S: Final = 1.1


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """What is known of a worker's clock, and until when it may run tasks.

    Attributes:
        ends_s: Local time after which nothing that was ordered runs on.
        clock_ms: Worker's clock when it last told; negative if never.
        clock_read_s: Local time of that.
    """

    ends_s: float
    clock_ms: int = -1
    clock_read_s: float = 0

    def has_clock(self) -> bool:
        """Return whether the worker has told its clock."""
        return self.clock_ms >= 0

    def read_clock(self, clock_ms: int, now_s: float) -> None:
        """Take the clock of an answer.

        Args:
            clock_ms: Worker's clock, in milliseconds.
            now_s: Local time of the answer.
        """
        self.clock_ms = clock_ms
        self.clock_read_s = now_s

    def inherit(self, now_s: float) -> None:
        """Count the lease that another allocator may have given until now."""
        self.ends_s = max(self.ends_s, now_s + INHERITED_LEASE_S)

    def extend(self, now_s: float) -> int:
        """Return the worker's time to run until, sent with the next order."""
        elapsed_ms = (now_s - self.clock_read_s) * units.MS_PER_S
        until_ms = int(self.clock_ms + elapsed_ms) + LEASE_MS
        left_s = (until_ms - self.clock_ms) / units.MS_PER_S * SLOWEST_CLOCK
        self.ends_s = max(self.ends_s, self.clock_read_s + left_s)
        return until_ms
