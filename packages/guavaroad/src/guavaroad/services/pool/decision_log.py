"""Structured log of decisions, with a rate limit for each kind of line.

Every request gets one line with its outcome; that of a failed request includes
the history of the job. When a limit is exceeded, lines are left out, and their
number is logged periodically.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final, Protocol

from guavaroad.domain.pool import actions, open_jobs
from guavaroad.ports import timers

# Lines a second of each kind. A line takes about 30 us, so that all kinds
# together stay below 2 % of a core.
MAX_LINES_PER_S: Final = 60
# Lines a second about failed requests. Bounds the log of a fleet that refuses
# every request.
MAX_FAILURE_LINES_PER_S: Final = 200
REPORT_PERIOD_S: Final = 5


class WriterPort(Protocol):
    """Output of log lines; never blocks."""

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Write a line."""


@dataclasses.dataclass(slots=True, kw_only=True)
class LineBudget:
    """Rate limit of one kind of line.

    Attributes:
        second: The current second.
        used: Lines written in the current second.
        suppressed: Lines left out since the last report.
    """

    second: int = 0
    used: int = 0
    suppressed: int = 0

    def try_use(self, now_s: float, limit: int) -> bool:
        """Return whether a line may be written, and count it.

        Args:
            now_s: Current time, in seconds.
            limit: Lines allowed per second.
        """
        second = int(now_s)
        if second != self.second:
            self.second = second
            self.used = 0
        if self.used >= limit:
            self.suppressed += 1
            return False
        self.used += 1
        return True


class Counters(Protocol):
    """Counts events for the metrics page."""

    def record_event(self, event: str, fields: Mapping[str, object]) -> None:
        """Count an event, and record the durations among its fields."""

    def record_job(self, outcome: str, reason: str, seconds: float) -> None:
        """Count an answered job."""


class DecisionLog:
    """Logs decisions as structured lines.

    Attributes:
        budgets: Rate limits by event.
    """

    def __init__(
        self,
        *,
        writer: WriterPort,
        counters: Counters,
        timer_service: timers.TimerService,
    ) -> None:
        self.writer = writer
        self.counters = counters
        self.timers = timer_service
        self.budgets: dict[str, LineBudget] = {}

    def log_event(self, event: str, **fields: object) -> None:
        """Log an event, within the rate limit of its kind."""
        self.write(event, fields, MAX_LINES_PER_S)

    def log_action(self, action: actions.LogEvent) -> None:
        """Log an event of the allocator."""
        self.write(action.event, action.fields, MAX_LINES_PER_S)

    def write(self, event: str, fields: dict[str, object], limit: int) -> None:
        """Count an event, and write its line unless the limit is exceeded.

        Args:
            event: Name of the event.
            fields: Its details.
            limit: Lines of this event allowed per second.
        """
        self.counters.record_event(event, fields)
        budget = self.budgets.setdefault(event, LineBudget())
        if budget.try_use(self.timers.now(), limit):
            self.writer.write(event, fields)

    def log_job_outcome(
        self,
        job: open_jobs.OpenJob,
        outcome: open_jobs.JobOutcome,
        age_ms: int,
    ) -> None:
        """Log the outcome of a job, with its history if it failed.

        Args:
            job: The job.
            outcome: Its outcome.
            age_ms: Time since it was submitted, in milliseconds.
        """
        reason = getattr(outcome, 'reason', '')
        kind = type(outcome).__name__
        self.counters.record_job(kind, reason, age_ms / 1000)
        request = job.request
        fields: dict[str, object] = {
            'job': request.job_id,
            'outcome': kind,
            'age_ms': age_ms,
            'urgency': request.urgency,
            'tasks': len(job.tasks),
            'estimate_ms': request.estimate_ms,
            'aim_ms': request.objective_ms,
            'patience_ms': request.client_timeout_ms,
            'version': request.config_version,
        }
        if isinstance(outcome, open_jobs.Completed):
            self.write('job_completed', fields, MAX_LINES_PER_S)
            return
        fields['reason'] = reason
        fields['open_tasks'] = job.open_tasks
        fields['chain'] = job.history
        self.write('job_failed', fields, MAX_FAILURE_LINES_PER_S)

    def report_suppressed(self) -> None:
        """Log how many lines were left out since the last report."""
        suppressed = {
            event: budget.suppressed
            for event, budget in self.budgets.items()
            if budget.suppressed
        }
        for budget in self.budgets.values():
            budget.suppressed = 0
        if suppressed:
            self.writer.write('lines_left_out', {'by_event': suppressed})
