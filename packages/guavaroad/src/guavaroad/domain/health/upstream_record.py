"""What one upstream did lately."""

import dataclasses
import enum

from guavaroad.domain import names


class HealthState(enum.Enum):
    """Whether an upstream is given work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBING = 'probing'


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamRecord:
    """Recent outcomes at one upstream.

    Attributes:
        state: Whether it is given work.
        reason: Why it was ejected, in one sentence.
        until_s: When an ejection ends, monotonic seconds.
        ejections: Ejections without a healthy spell between.
        consecutive_failures: Failures since the last success, by job.
        successes: Successes in this window.
        failures: Failures in this window.
        before: Successes and failures of the window before.
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
    before: tuple[int, int] = (0, 0)

    def succeeded(self) -> None:
        """Count a success."""
        self.consecutive_failures.clear()
        self.successes += 1

    def failed(self, job: names.JobName) -> None:
        """Count a failure of a task of a job."""
        before = self.consecutive_failures.get(job, 0)
        self.consecutive_failures[job] = before + 1
        self.failures += 1

    def forgive(self, job: names.JobName) -> None:
        """Take back the failures in a row of a job that is at fault."""
        taken_back = self.consecutive_failures.pop(job, 0)
        self.failures = max(0, self.failures - taken_back)

    def samples(self) -> int:
        """Return the attempts of this window and the one before."""
        return self.successes + self.failures + sum(self.before)

    def success_rate(self) -> float:
        """Return the part that succeeded in both windows; 1 of nothing."""
        samples = self.samples()
        good = self.successes + self.before[0]
        return good / samples if samples else 1

    def turn_window(self) -> None:
        """Begin a new window."""
        self.before = (self.successes, self.failures)
        self.successes = 0
        self.failures = 0
