"""Health of one worker: failed runs, slow runs and unanswered calls.

Guards against a few workers that fail or hang every task. Each start there
costs an attempt, and a fast failure frees its capacity at once, so that such a
worker would get an ever larger share of the queue. Tasks that fail on any
worker must not cost the workers their turn.
"""

import dataclasses
import math
from typing import Final

# Prior odds that a worker is faulty: one worker in twenty may be at any time.
PRIOR_ODDS: Final = 0.05
PRIOR_LOG_ODDS: Final = math.log(PRIOR_ODDS)
# Share of the runs that a faulty worker fails. Many fail all, some a part.
FAULTY_SHARE: Final = 0.5
# A success halves the odds: the faulty share against nearly all.
SUCCESS_LOG_ODDS: Final = math.log(FAULTY_SHARE)
# A worker that is more likely faulty than not comes after all others.
SUSPECT_LOG_ODDS: Final = float(0)
# A worker whose odds are over 100 is ejected.
EJECT_LOG_ODDS: Final = math.log(100)
# Upper bound, so that a few successes clear a worker.
MAX_LOG_ODDS: Final = math.log(1000)
# Bound after a probe has succeeded: three more successes clear the worker.
RETURN_LOG_ODDS: Final = math.log(4)
# Time in which the odds fade to the prior, in seconds: a fault that lasts
# longer is found again by one task.
FADE_S: Final = 5.0
# Least share of runs that fail by the fault of their task.
MIN_TASK_FAULTS: Final = 0.002
# Runs that the least share counts for at first, and runs over which the share
# is smoothed later.
FIRST_RUNS: Final = 50
SMOOTHED_RUNS: Final = 500
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
class FaultShare:
    """Share of the runs on unsuspected workers of a pool that go wrong.

    Attributes:
        share: The share, smoothed.
        runs: Runs that it is learned from.
    """

    share: float = MIN_TASK_FAULTS
    runs: int = FIRST_RUNS

    def record(self, is_fault: bool) -> None:
        """Record a run."""
        self.runs = min(self.runs + 1, SMOOTHED_RUNS)
        self.share += (is_fault - self.share) / self.runs

    def evidence(self) -> float:
        """Return what one more fault adds to the log-odds of a worker."""
        share = max(self.share, MIN_TASK_FAULTS)
        return max(math.log(FAULTY_SHARE / share), 0)


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerHealth:
    """Recent failures of a worker and the resulting pause.

    Attributes:
        failures: Failed runs since the last successful one.
        log_odds: Log-odds that the worker is faulty, as of `updated_s`.
        updated_s: Time of the last evidence, in seconds.
        succeeded_s: Time of the last successful run, in seconds.
        in_time_s: Time of the last one that was no straggler, in seconds.
        pause_s: Length of the next pause, in seconds.
        ejected_until_s: The worker gets no tasks before this time.
        probing: Whether it may have only one task at a time, after a pause.
        unanswered: Consecutive unanswered calls.
        run_time_ratio: Run time divided by the estimate, smoothed.
    """

    failures: int = 0
    log_odds: float = PRIOR_LOG_ODDS
    updated_s: float = 0
    succeeded_s: float = float('-inf')
    in_time_s: float = float('-inf')
    pause_s: float = FIRST_PAUSE_S
    ejected_until_s: float = 0
    probing: bool = False
    unanswered: int = 0
    run_time_ratio: float = 1

    def current_log_odds(self, now_s: float) -> float:
        """Return the log-odds that the worker is faulty."""
        age_s = max(now_s - self.updated_s, 0)
        fade = math.exp(-age_s / FADE_S)
        return PRIOR_LOG_ODDS + (self.log_odds - PRIOR_LOG_ODDS) * fade

    def is_suspected(self, now_s: float) -> bool:
        """Return whether other workers come first.

        A worker that was ejected gets its probe in its usual turn once its odds
        have faded.
        """
        # They only fade: most workers need no exponential.
        if self.log_odds < SUSPECT_LOG_ODDS:
            return False
        return self.current_log_odds(now_s) >= SUSPECT_LOG_ODDS

    def add_evidence(self, log_odds: float, now_s: float) -> None:
        """Add to the log-odds; the result stays between prior and bound."""
        added = self.current_log_odds(now_s) + log_odds
        self.log_odds = max(PRIOR_LOG_ODDS, min(MAX_LOG_ODDS, added))
        self.updated_s = now_s

    def record_success(self, ratio: float, now_s: float) -> None:
        """Record a successful run.

        Args:
            ratio: Its run time divided by its estimate.
            now_s: Current time, in seconds.
        """
        self.run_time_ratio += RUN_TIME_WEIGHT * (ratio - self.run_time_ratio)
        self.failures = 0
        self.succeeded_s = now_s
        self.add_evidence(SUCCESS_LOG_ODDS, now_s)

    def end_probation(self, now_s: float) -> None:
        """End the pauses after a successful run that was in time."""
        self.in_time_s = now_s
        self.pause_s = FIRST_PAUSE_S
        self.probing = False
        self.log_odds = min(self.log_odds, RETURN_LOG_ODDS)

    def record_failure(self, evidence: float, now_s: float) -> bool:
        """Record a failed run; return whether it ejects the worker.

        Args:
            evidence: What the failure adds to the log-odds.
            now_s: Current time, in seconds.
        """
        self.failures += 1
        self.add_evidence(evidence, now_s)
        if self.log_odds < EJECT_LOG_ODDS and not self.probing:
            return False
        return self.eject(now_s)

    def record_overrun(self, evidence: float, now_s: float) -> bool:
        """Record a run that takes far too long.

        Args:
            evidence: What the run adds to the log-odds.
            now_s: Current time, in seconds.

        Returns:
            Whether it ejects the worker. One such run does where they are rare,
            since the others on the worker would not end either.
        """
        self.add_evidence(evidence, now_s)
        if self.log_odds < SUSPECT_LOG_ODDS and not self.probing:
            return False
        return self.eject(now_s)

    def clear_failure(self, evidence: float, now_s: float) -> None:
        """Take back a failure that was the fault of its task."""
        self.failures = max(self.failures - 1, 0)
        self.add_evidence(-evidence, now_s)

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
        return not (running and (self.probing or self.is_suspected(now_s)))
