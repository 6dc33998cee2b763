"""Measured run times of tasks, in slot-seconds."""

from typing import Final

from guavaroad.domain import attempts, names
from guavaroad.domain.scheduling import entries

_INITIAL_RUN_TIME_S: Final = 0.25
_SMOOTHING_FACTOR: Final = 0.1


class RunTimes:
    """Exponential moving averages of run times, by job name and overall.

    Attributes:
        overall_s: Average over all jobs.
        by_job: Averages by job name.
    """

    def __init__(self) -> None:
        self.overall_s = _INITIAL_RUN_TIME_S
        self.by_job: dict[names.JobName, float] = {}

    def record(self, job: names.JobName, took_s: float) -> None:
        """Record the run time of one task."""
        self.overall_s += _SMOOTHING_FACTOR * (took_s - self.overall_s)
        before_s = self.by_job.get(job, took_s)
        self.by_job[job] = before_s + _SMOOTHING_FACTOR * (took_s - before_s)

    def expected_s(self, job: names.JobName) -> float:
        """Return the expected run time of a task of a job, in seconds."""
        return self.by_job.get(job, self.overall_s)

    def record_attempt(
        self,
        pick: entries.Pick,
        outcome: attempts.AttemptOutcome,
        took_s: float,
    ) -> float:
        """Record the run time of an attempt that ended.

        Only answered attempts change the averages.

        Args:
            pick: The task.
            outcome: Outcome of the attempt.
            took_s: Seconds from the start to the outcome.

        Returns:
            Slot-seconds to charge; 0 if the attempt did not start.
        """
        match outcome:
            case attempts.NotStarted():
                return 0
            case attempts.Answered():
                self.record(pick.job.request.job, took_s)
        return took_s
