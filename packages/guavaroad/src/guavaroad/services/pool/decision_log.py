"""Structured log lines of decisions, bounded a second and by kind.

A line a request says what became of it.  Those that failed always have their
chain; of the others, and of the allocator's decisions, a flood leaves lines
out, which are counted and told of.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final, Protocol

from guavaroad.domain.pool import actions, open_jobs
from guavaroad.ports import timers

# Lines a second of one kind; a line takes about 30 us, so all kinds together
# stay below 2 % of a core.
LINES_A_SECOND: Final = 60
# Lines a second of failed requests; a fleet that refuses everything writes
# no more than this.
FAILURES_A_SECOND: Final = 200
REPORT_PERIOD_S: Final = 5


class WriterPort(Protocol):
    """Where lines go; never blocks."""

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Write a line."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Budget:
    """Lines of one kind in one second.

    Attributes:
        second: Which second.
        used: Lines in it.
        left_out: Lines left out since the last report.
    """

    second: int = 0
    used: int = 0
    left_out: int = 0

    def take(self, now_s: float, most: int) -> bool:
        """Return whether a line may be written."""
        second = int(now_s)
        if second != self.second:
            self.second = second
            self.used = 0
        if self.used >= most:
            self.left_out += 1
            return False
        self.used += 1
        return True


class Counters(Protocol):
    """Counts events for the metrics page."""

    def record_event(self, event: str, fields: Mapping[str, object]) -> None:
        """Count an event, and the times among its fields."""

    def record_job(self, outcome: str, reason: str, seconds: float) -> None:
        """Count an answered job."""


class DecisionLog:
    """Writes decisions.

    Attributes:
        budgets: Budget of each kind.
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
        self.budgets: dict[str, Budget] = {}

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line if the budget of its kind allows it."""
        self.write(event, fields, LINES_A_SECOND)

    def noted(self, action: actions.LogEvent) -> None:
        """Write a decision of the allocator."""
        self.write(action.event, action.fields, LINES_A_SECOND)

    def write(self, event: str, fields: dict[str, object], most: int) -> None:
        """Write a line within a budget."""
        self.counters.record_event(event, fields)
        budget = self.budgets.setdefault(event, Budget())
        if budget.take(self.timers.now(), most):
            self.writer.write(event, fields)

    def log_job_outcome(
        self,
        job: open_jobs.OpenJob,
        outcome: open_jobs.JobOutcome,
        age_ms: int,
    ) -> None:
        """Write what became of a job, with its chain if it failed."""
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
            self.write('job_completed', fields, LINES_A_SECOND)
            return
        fields['reason'] = reason
        fields['open_tasks'] = job.open_tasks
        fields['chain'] = job.history
        self.write('job_failed', fields, FAILURES_A_SECOND)

    def report_suppressed(self) -> None:
        """Say how many lines were left out."""
        left_out = {
            event: budget.left_out
            for event, budget in self.budgets.items()
            if budget.left_out
        }
        for budget in self.budgets.values():
            budget.left_out = 0
        if left_out:
            self.writer.write('lines_left_out', {'by_event': left_out})
