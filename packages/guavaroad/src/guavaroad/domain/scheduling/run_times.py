"""Slot-seconds that tasks really took."""

from typing import Final

from guavaroad.domain import attempts, names
from guavaroad.domain.scheduling import entries

_FIRST_GUESS_S: Final = 0.25
_WEIGHT: Final = 0.1


class RunTimes:
    """Moving mean of measured run times, for each job name and overall."""

    def __init__(self) -> None:
        self.overall_s = _FIRST_GUESS_S
        self.by_job: dict[names.JobName, float] = {}

    def record(self, job: names.JobName, took_s: float) -> None:
        """Take the run time of one task."""
        self.overall_s += _WEIGHT * (took_s - self.overall_s)
        before_s = self.by_job.get(job, took_s)
        self.by_job[job] = before_s + _WEIGHT * (took_s - before_s)

    def expected_s(self, job: names.JobName) -> float:
        """Return the run time to expect of a task of that job."""
        return self.by_job.get(job, self.overall_s)

    def record_attempt(
        self,
        pick: entries.Pick,
        outcome: attempts.AttemptOutcome,
        took_s: float,
    ) -> float:
        """Record an attempt that ended.

        Args:
            pick: The task.
            outcome: What became of it.
            took_s: Seconds from the start to the outcome.

        Returns:
            Slot-seconds to charge; nothing for what did not start.
        """
        match outcome:
            case attempts.NotStarted():
                return 0
            case attempts.Answered():
                self.record(pick.job.request.job, took_s)
        return took_s
