"""Circuit breakers for jobs that fail where other jobs succeed."""

import dataclasses
import enum

from guavaroad.domain import names
from guavaroad.domain.health import rules


class BreakerState(enum.Enum):
    """Whether submissions of a job are admitted."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half open'


@dataclasses.dataclass(slots=True, kw_only=True)
class Breaker:
    """Circuit breaker of one job.

    Attributes:
        state: Whether submissions are admitted.
        failed_on: Upstreams that the job failed on since its last success.
        open_count: How often the breaker opened since the last success.
        until_s: Monotonic time in seconds from which one submission is
            admitted as a probe.
    """

    state: BreakerState = BreakerState.CLOSED
    failed_on: set[names.UpstreamName] = dataclasses.field(default_factory=set)
    open_count: int = 0
    until_s: float = 0


class JobBreakers:
    """Circuit breakers by job name."""

    def __init__(self, *, bounds: rules.Rules) -> None:
        self.bounds = bounds
        self.breakers: dict[names.JobName, Breaker] = {}

    def record_success(self, job: names.JobName) -> None:
        """Record a success, which closes the breaker."""
        self.breakers.pop(job, None)

    def record_failure(
        self,
        job: names.JobName,
        name: names.UpstreamName,
        *,
        serves_others: bool,
        now_s: float,
    ) -> bool:
        """Record a failure.

        Args:
            job: Job that failed.
            name: Upstream that it failed on.
            serves_others: Whether no other job currently fails there.
            now_s: Current monotonic time in seconds.

        Returns:
            Whether the breaker opened.  The failures are then attributed to
            the job and not to the upstreams.
        """
        breaker = self.breakers.setdefault(job, Breaker())
        if serves_others:
            breaker.failed_on.add(name)
        is_threshold_met = (
            len(breaker.failed_on) >= self.bounds.distinct_upstreams
        )
        is_probe_failure = breaker.state is BreakerState.HALF_OPEN
        if breaker.state is BreakerState.OPEN or not (
            is_threshold_met or is_probe_failure
        ):
            return False
        breaker.open_count += 1
        breaker.state = BreakerState.OPEN
        breaker.until_s = now_s + self.bounds.ejection_s(breaker.open_count)
        return True

    def is_suspended(self, job: names.JobName) -> bool:
        """Return whether the breaker of the job is not closed."""
        breaker = self.breakers.get(job)
        return breaker is not None and breaker.state is not BreakerState.CLOSED

    def try_admit(self, job: names.JobName, now_s: float) -> bool:
        """Return whether a submission may be admitted now.

        An open breaker becomes half open when its time has passed, and admits
        this submission as a probe.
        """
        breaker = self.breakers.get(job)
        if breaker is None or breaker.state is BreakerState.CLOSED:
            return True
        if now_s < breaker.until_s:
            return False
        breaker.state = BreakerState.HALF_OPEN
        breaker.until_s = now_s + self.bounds.ejection_s(breaker.open_count)
        return True

    def retry_after_s(self, job: names.JobName, now_s: float) -> float:
        """Return the seconds until the breaker admits the next probe."""
        breaker = self.breakers.get(job)
        return max(0, breaker.until_s - now_s) if breaker else 0
