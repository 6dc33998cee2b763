"""Whether a job that has just come is worth keeping.

Answers the load pattern in which far more work comes than the workers carry:
what would only wait until it is given up is refused at once, so that its
client can turn elsewhere, and told when the queue will have drained.
"""

import dataclasses
import math
from typing import Final

from guavaroad.domain import units

# Share of the client's time that a job may wait without a start: later than
# half of it a refusal is worth nothing to the client.
PATIENCE_SHARE: Final = 0.42
# Share of the workers' cores that whole tasks fill when all are busy: two of
# 14 cores on 32, three on 48.
FILL: Final = 0.85
# Weight of the newest second in the arrival rates.
RATE_WEIGHT: Final = 0.5
# Share of the workers that the least urgent work can count on.
LEAST_SHARE: Final = 0.1
# An answer later than this many times the objective is of no use.
LATE_FACTOR: Final = 3
# Share of the estimate that a begun job must still have time for; estimates
# are off by 40 %, and stopping a job that would have ended wastes it whole.
BEGUN_SHARE: Final = 0.6
# Time that answers take on their way, in seconds.
ANSWER_WAY_S: Final = 0.1
# A hint beyond this says nothing about the queue, in milliseconds.
LONGEST_HINT_MS: Final = 10_000
SHORTEST_HINT_MS: Final = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class ArrivalRates:
    """Core-seconds a second that arrive, by urgency.

    Attributes:
        rates: Smoothed rates.
        sums: Core-seconds since the last step.
        stepped_s: When the rates were last taken.
    """

    rates: dict[int, float] = dataclasses.field(default_factory=dict)
    sums: dict[int, float] = dataclasses.field(default_factory=dict)
    stepped_s: float = 0

    def add(self, urgency: int, core_s: float, now_s: float) -> None:
        """Count work that has come.

        Args:
            urgency: Its urgency.
            core_s: Estimated core-seconds.
            now_s: Time.
        """
        elapsed_s = now_s - self.stepped_s
        if elapsed_s >= 1:
            self.step(elapsed_s, now_s)
        self.sums[urgency] = self.sums.get(urgency, 0) + core_s

    def step(self, elapsed_s: float, now_s: float) -> None:
        """Take the rates of the time that has passed."""
        urgencies = {*self.rates, *self.sums}
        for urgency in urgencies:
            newest = self.sums.get(urgency, 0) / elapsed_s
            known = self.rates.get(urgency, newest)
            self.rates[urgency] = known + RATE_WEIGHT * (newest - known)
        self.sums = {}
        self.stepped_s = now_s

    def before(self, urgency: int) -> float:
        """Return the rate of work that goes before an urgency."""
        return sum(
            rate for level, rate in self.rates.items() if level < urgency
        )


def expected_wait_s(
    *, ahead_core_s: float, cores: float, rate_before: float
) -> float:
    """Return how long work may wait for its start.

    Args:
        ahead_core_s: Core-seconds that wait before it.
        cores: Cores of the usable workers.
        rate_before: Core-seconds a second of work that will go before it.

    Returns:
        Seconds.
    """
    filled = cores * FILL
    left = max(filled - rate_before, filled * LEAST_SHARE)
    if left <= 0:
        return math.inf
    return ahead_core_s / left


def latest_start_s(
    *, arrived_s: float, patience_s: float, estimate_s: float, aim_s: float
) -> float:
    """Return when a job that has not started is given up.

    Later than this it would end after its client has left, or be refused too
    late to be of use.

    Args:
        arrived_s: When it came.
        patience_s: How long its client waits.
        estimate_s: Its estimated run time.
        aim_s: Wait that still meets its latency objective.
    """
    prompt_s = patience_s * PATIENCE_SHARE
    possible_s = patience_s - estimate_s - ANSWER_WAY_S
    objective_s = aim_s + estimate_s
    useful_s = LATE_FACTOR * objective_s - estimate_s
    return arrived_s + max(min(prompt_s, possible_s, useful_s), 0)


def retry_after_ms(wait_s: float) -> int:
    """Return when work like it may find room, in milliseconds."""
    hint_ms = min(wait_s * units.MS_PER_S, LONGEST_HINT_MS)
    return max(int(hint_ms), SHORTEST_HINT_MS)
