"""Health of one worker: failed runs, slow runs and unanswered calls.

Guards against a few workers that fail or hang every task. Each start there
costs an attempt, and a fast failure frees its capacity at once, so that such a
worker would get an ever larger share of the queue.
"""

import dataclasses
from typing import Final

# Consecutive failed runs that eject a worker. A task fails by its own fault in
# two of a thousand runs, so three in a row are the worker's fault.
FAILURES_TO_EJECT: Final = 3
# First pause of an ejected worker, in seconds; doubles while probes fail.
FIRST_PAUSE_S: Final = 0.8
LONGEST_PAUSE_S: Final = 3.2
_PAUSE_GROWTH: Final = 2
# Weight of the newest run in the run time ratio; limits the influence of one
# task with a bad estimate.
RUN_TIME_WEIGHT: Final = 0.2
# Consecutive unanswered calls that pause a worker. Single calls are lost while
# a worker is healthy.
UNANSWERED_TO_PAUSE: Final = 2
# Pause of a worker that does not answer, in seconds: three times the timeout of
# an order.
UNANSWERED_PAUSE_S: Final = 0.6


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerHealth:
    """Recent failures of a worker and the resulting pause.

    Attributes:
        failures: Failed runs since the last successful one.
        pause_s: Length of the next pause, in seconds.
        ejected_until_s: The worker gets no tasks before this time.
        probing: Whether it may have only one task at a time, after a pause.
        unanswered: Consecutive unanswered calls.
        run_time_ratio: Run time divided by the estimate, smoothed.
    """

    failures: int = 0
    pause_s: float = FIRST_PAUSE_S
    ejected_until_s: float = 0
    probing: bool = False
    unanswered: int = 0
    run_time_ratio: float = 1

    def record_success(self, ratio: float) -> None:
        """Record a successful run.

        Args:
            ratio: Its run time divided by its estimate.
        """
        self.run_time_ratio += RUN_TIME_WEIGHT * (ratio - self.run_time_ratio)
        self.failures = 0

    def end_probation(self) -> None:
        """Allow several tasks again after a successful run that was in time."""
        self.pause_s = FIRST_PAUSE_S
        self.probing = False

    def record_failure(self, now_s: float) -> bool:
        """Record a failed run; return whether it ejects the worker."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT and not self.probing:
            return False
        return self.eject(now_s)

    def eject(self, now_s: float) -> bool:
        """Eject the worker; return whether it was in use."""
        was_in_use = self.ejected_until_s <= now_s
        if was_in_use:
            self.ejected_until_s = now_s + self.pause_s
            self.pause_s = min(self.pause_s * _PAUSE_GROWTH, LONGEST_PAUSE_S)
            self.probing = True
        return was_in_use

    def record_answer(self) -> None:
        """Record an answered call."""
        self.unanswered = 0

    def record_unanswered(self, now_s: float) -> bool:
        """Record an unanswered call; return whether it pauses the worker."""
        self.unanswered += 1
        if self.unanswered < UNANSWERED_TO_PAUSE:
            return False
        self.ejected_until_s = max(
            self.ejected_until_s, now_s + UNANSWERED_PAUSE_S
        )
        self.probing = True
        return True

    def allows(self, now_s: float, running: int) -> bool:
        """Return whether the worker may get one more task.

        Args:
            now_s: Current time, in seconds.
            running: Number of its runs.
        """
        if now_s < self.ejected_until_s:
            return False
        return not (self.probing and running)
