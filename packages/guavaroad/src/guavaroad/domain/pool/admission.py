"""Whether a job that has just arrived should be queued or refused.

Guards against sustained overload: a job that would only wait until it is given
up is refused at once with a retry hint, so that its client can go elsewhere.
"""

import dataclasses
import math
from typing import Final

from guavaroad.domain import units

# Share of the client's timeout that a job may wait for its first start. A
# refusal after half of the timeout is of no use to the client.
MAX_WAIT_SHARE: Final = 0.42
# Share of the workers' cores that whole tasks can fill when all are busy: two
# tasks of 14 cores fit on 32 cores, three on 48.
USABLE_CORE_SHARE: Final = 0.85
# Interval at which the arrival rates are updated, in seconds, and weight of the
# newest one: a burst is seen within half a second, while single large jobs
# hardly move the rates.
RATE_INTERVAL_S: Final = 0.25
RATE_WEIGHT: Final = 0.3
# Minimum share of the usable cores that is assumed for the least urgent work.
MIN_CORE_SHARE: Final = 0.1
# An answer later than this multiple of the latency objective is of no use.
MAX_LATENESS_RATIO: Final = 3
# Share of the estimate that must still fit before the client's timeout for a
# started job to be kept. Estimates are off by 40 %, and stopping a job that
# would have finished wastes all of its work.
STARTED_SHARE: Final = 0.6
# Time to deliver an answer to the client, in seconds.
ANSWER_TRANSIT_S: Final = 0.1
# Maximum delay hint that still reflects the queue, in milliseconds.
MAX_RETRY_AFTER_MS: Final = 10_000
MIN_RETRY_AFTER_MS: Final = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class ArrivalRates:
    """Smoothed arrival rates by urgency, in core-seconds per second.

    Attributes:
        rates: Smoothed rates.
        sums: Core-seconds that arrived since the last update.
        updated_s: Time of the last update.
    """

    rates: dict[int, float] = dataclasses.field(default_factory=dict)
    sums: dict[int, float] = dataclasses.field(default_factory=dict)
    updated_s: float = 0

    def add(self, urgency: int, core_s: float, now_s: float) -> None:
        """Count work that has arrived.

        Args:
            urgency: Urgency of the work.
            core_s: Estimated core-seconds.
            now_s: Current time, in seconds.
        """
        elapsed_s = now_s - self.updated_s
        if elapsed_s >= RATE_INTERVAL_S:
            self.update(elapsed_s, now_s)
        self.sums[urgency] = self.sums.get(urgency, 0) + core_s

    def update(self, elapsed_s: float, now_s: float) -> None:
        """Fold the work since the last update into the rates."""
        urgencies = {*self.rates, *self.sums}
        for urgency in urgencies:
            newest = self.sums.get(urgency, 0) / elapsed_s
            previous = self.rates.get(urgency, newest)
            self.rates[urgency] = previous + RATE_WEIGHT * (newest - previous)
        self.sums = {}
        self.updated_s = now_s

    def total(self) -> float:
        """Return the rate of all work."""
        return sum(self.rates.values())

    def rate_before(self, urgency: int) -> float:
        """Return the rate of work that is more urgent than `urgency`."""
        return sum(
            rate for level, rate in self.rates.items() if level < urgency
        )


def expected_wait_s(*, ahead_core_s: float, cores: float) -> float:
    """Return the expected wait for a start, in seconds.

    Args:
        ahead_core_s: Core-seconds of work that is served before.
        cores: Cores that are left for the work of this kind.
    """
    if cores <= 0:
        return math.inf
    return ahead_core_s / cores


def latest_start_s(
    *,
    arrived_s: float,
    client_timeout_s: float,
    estimate_s: float,
    objective_s: float,
) -> float:
    """Return the time at which a job that has not started is given up.

    A later start would end after the client's timeout, and a later refusal
    would be of no use to the client.

    Args:
        arrived_s: Time of arrival, in seconds.
        client_timeout_s: Timeout of the client, in seconds.
        estimate_s: Estimated run time, in seconds.
        objective_s: Longest wait that meets the latency objective, in seconds.
    """
    max_wait_s = client_timeout_s * MAX_WAIT_SHARE
    feasible_s = client_timeout_s - estimate_s - ANSWER_TRANSIT_S
    target_s = objective_s + estimate_s
    useful_s = MAX_LATENESS_RATIO * target_s - estimate_s
    return arrived_s + max(min(max_wait_s, feasible_s, useful_s), 0)


def retry_after_ms(wait_s: float) -> int:
    """Return the retry hint for an expected wait, in milliseconds."""
    hint_ms = min(wait_s * units.MS_PER_S, MAX_RETRY_AFTER_MS)
    return max(int(hint_ms), MIN_RETRY_AFTER_MS)
