"""Choice between waiting jobs when more work arrives than workers can do.

Answers sustained overload. Without a choice every queue grows until each job
starts just after its latency objective: room is spent on late answers while the
jobs behind become late in turn. Beyond the capacity a job is admitted only if
it is expected to start well within its objective; the others are refused at
once, large ones of a kind first, since they take the most room for an answer.
Each kind, size class and caller keeps a floor. Below the capacity nothing
changes.
"""

import dataclasses
import types
from collections.abc import Mapping
from typing import Final

from guavaroad.domain.pool import admission, shares, values

# Part of the time until its objective that a job may be expected to wait beyond
# the capacity. The rest covers estimates that are 40 % off and slow workers;
# large jobs are refused at a shorter queue.
WAIT_SHARES: Final[Mapping[values.Size, float]] = types.MappingProxyType(
    {
        values.Size.SMALL: 0.7,
        values.Size.MIDDLE: 0.4,
        values.Size.LARGE: 0.35,
    }
)
# The same for jobs of a class below its floor, and for those that return after
# a refusal.
OWED_WAIT_SHARE: Final = 0.85
# The same for jobs of a crowd.
CROWD_WAIT_SHARE: Final = 0.25
# Work that arrives, as a multiple of what can be done, above which a kind is
# short of room. A smaller excess lengthens the queue by 0.15 s in a second at
# most: during a short peak a late answer costs callers less than a refusal.
SHORT_RATIO: Final = 1.15
# Bounds of the usable share of the cores, and weight of a new measurement.
_MIN_USABLE_SHARE: Final = 0.5
_MAX_USABLE_SHARE: Final = 1.2
_USABLE_WEIGHT: Final = 0.3
# Time over which the usable share is measured, in seconds.
_MEASURE_S: Final = 0.5
# The workers count as full while the work that waits would keep them busy for
# this long, in seconds.
_FULL_S: Final = 0.04


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """What decides about a job that has just arrived.

    Attributes:
        in_time_s: Longest wait that meets the objective, in seconds.
        useful_s: Longest wait after which an answer is of use, in seconds.
        size: Size class within its kind.
        is_owed: Whether its size class or caller is below its floor, or it was
            refused before.
        is_crowd: Whether its caller asks for much more than the others.
    """

    in_time_s: float
    useful_s: float
    size: values.Size
    is_owed: bool
    is_crowd: bool


def longest_wait_s(candidate: Candidate, *, is_short: bool) -> float:
    """Return the longest expected wait at which a job is admitted.

    Args:
        candidate: The job.
        is_short: Whether more work of its kind arrives than can be done.
    """
    if not is_short:
        return candidate.useful_s
    if candidate.is_owed:
        share = OWED_WAIT_SHARE
    elif candidate.is_crowd:
        share = CROWD_WAIT_SHARE
    else:
        share = WAIT_SHARES[candidate.size]
    return min(candidate.in_time_s * share, candidate.useful_s)


class Room:
    """Demand for the workers of one pool, and the room that they have.

    Attributes:
        asked: Work that arrives, by urgency.
        started: Work that is started, by urgency.
        usable_share: Share of the cores that work fills, by its estimates, when
            the workers are full; measured while they are.
        started_core_s: Estimated core-seconds that were ever started.
        full_since_s: Time since which the workers are full; None if they
            aren't.
        full_core_s: Value of `started_core_s` at that time.
    """

    def __init__(self) -> None:
        self.asked = admission.ArrivalRates()
        self.started = admission.ArrivalRates()
        self.usable_share = admission.USABLE_CORE_SHARE
        self.started_core_s: float = 0
        self.full_since_s: float | None = None
        self.full_core_s: float = 0

    def record_start(self, urgency: int, core_s: float, now_s: float) -> None:
        """Count a started task."""
        self.started.add(urgency, core_s, now_s)
        self.started_core_s += core_s

    def measure(
        self, *, waiting_core_s: float, cores: float, now_s: float
    ) -> None:
        """Measure the usable share while the workers are full.

        Args:
            waiting_core_s: Work that waits after a placement pass.
            cores: Cores of the usable workers.
            now_s: Current time, in seconds.
        """
        if not cores or waiting_core_s < _FULL_S * cores:
            self.full_since_s = None
            return
        if self.full_since_s is None:
            self.full_since_s = now_s
            self.full_core_s = self.started_core_s
            return
        elapsed_s = now_s - self.full_since_s
        if elapsed_s < _MEASURE_S:
            return
        core_s = self.started_core_s - self.full_core_s
        newest = core_s / (elapsed_s * cores)
        newest = min(max(newest, _MIN_USABLE_SHARE), _MAX_USABLE_SHARE)
        self.usable_share += _USABLE_WEIGHT * (newest - self.usable_share)
        self.full_since_s = now_s
        self.full_core_s = self.started_core_s

    def is_short(self, urgency: int, cores: float) -> bool:
        """Return whether more work of a kind arrives than can be done.

        A more urgent kind is not short as long as it alone would not fill the
        workers, whatever arrives behind it.
        """
        usable = cores * self.usable_share
        if self.asked.total() <= SHORT_RATIO * usable:
            return False
        asked = self.asked.rates.get(urgency, 0)
        return asked > SHORT_RATIO * self.cores_for(urgency, cores)

    def floor_cores(self, urgency: int, cores: float) -> float:
        """Return the cores that a kind gets before more urgent kinds.

        It is a part of its demand, in the proportion in which the whole demand
        can be served, so that all floors together never exceed the room.
        """
        usable = cores * self.usable_share
        total = self.asked.total()
        if total <= usable:
            return 0
        asked = self.asked.rates.get(urgency, 0)
        return shares.FLOOR_SHARE * asked * usable / total

    def rank(self, urgency: int, cores: float) -> tuple[int, int]:
        """Return the key of a kind in the order of service.

        Kinds that can be served as a whole go first, then those below their
        floor, then the others; by urgency among each of them.
        """
        if not self.is_short(urgency, cores):
            return 0, urgency
        floor = self.floor_cores(urgency, cores)
        is_owed = self.started.rates.get(urgency, 0) < floor
        return (1 if is_owed else 2), urgency

    def cores_for(self, urgency: int, cores: float) -> float:
        """Return the cores that are left for a kind, in the order of service.

        Args:
            urgency: Urgency of the kind.
            cores: Cores of the usable workers.
        """
        usable = cores * self.usable_share
        below = sum(
            self.floor_cores(level, cores)
            for level in self.asked.rates
            if level > urgency
        )
        left = usable - self.asked.rate_before(urgency) - below
        return max(
            left,
            self.floor_cores(urgency, cores),
            usable * admission.MIN_CORE_SHARE,
        )

    def spare_cores(self, urgency: int, cores: float) -> float:
        """Return the cores that are left for returning jobs of a kind."""
        left = self.cores_for(urgency, cores)
        left -= self.asked.rates.get(urgency, 0)
        return max(left, cores * self.usable_share * admission.MIN_CORE_SHARE)
