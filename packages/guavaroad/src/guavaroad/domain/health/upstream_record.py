"""Recent outcomes of one upstream."""

import dataclasses
import enum

from guavaroad.domain import names


class HealthState(enum.Enum):
    """Whether an upstream is assigned tasks."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBING = 'probing'


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamRecord:
    """Health state and recent outcomes of one upstream.

    Attributes:
        state: Whether the upstream is assigned tasks.
        reason: Reason for the ejection, one sentence.
        until_s: Monotonic time at which the ejection ends, in seconds.
        ejections: Ejections since the last window without failures.
        consecutive_failures: Failures since the last success, by job.
        successes: Successes in the current window.
        failures: Failures in the current window.
        previous_window: Successes and failures of the previous window.
    """

    state: HealthState = HealthState.HEALTHY
    reason: str = ''
    until_s: float = 0
    ejections: int = 0
    consecutive_failures: dict[names.JobName, int] = dataclasses.field(
        default_factory=dict
    )
    successes: int = 0
    failures: int = 0
    previous_window: tuple[int, int] = (0, 0)

    def record_success(self) -> None:
        """Record a success."""
        self.consecutive_failures.clear()
        self.successes += 1

    def record_failure(self, job: names.JobName) -> None:
        """Record a failure of a task of the job."""
        count = self.consecutive_failures.get(job, 0)
        self.consecutive_failures[job] = count + 1
        self.failures += 1

    def clear_failures(self, job: names.JobName) -> None:
        """Clear the consecutive failures of a job."""
        cleared = self.consecutive_failures.pop(job, 0)
        self.failures = max(0, self.failures - cleared)

    def samples(self) -> int:
        """Return the number of attempts in both windows."""
        return self.successes + self.failures + sum(self.previous_window)

    def success_rate(self) -> float:
        """Return the success rate over both windows; 1 without attempts."""
        samples = self.samples()
        successes = self.successes + self.previous_window[0]
        return successes / samples if samples else 1

    def start_window(self) -> None:
        """Start a new window."""
        self.previous_window = (self.successes, self.failures)
        self.successes = 0
        self.failures = 0
