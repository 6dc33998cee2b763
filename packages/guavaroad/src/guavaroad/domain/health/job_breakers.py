"""Suspends jobs that fail on upstreams which serve others."""

import dataclasses
import enum

from guavaroad.domain import names
from guavaroad.domain.health import rules


class BreakerState(enum.Enum):
    """Whether submissions of a job are taken."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half open'


@dataclasses.dataclass(slots=True, kw_only=True)
class Breaker:
    """Breaker of one job.

    Attributes:
        state: Whether submissions are taken.
        failed_on: Upstreams it failed on since its last success.
        opened: Times it opened without a success between.
        until_s: When it lets one submission through, monotonic seconds.
    """

    state: BreakerState = BreakerState.CLOSED
    failed_on: set[names.UpstreamName] = dataclasses.field(default_factory=set)
    opened: int = 0
    until_s: float = 0


class JobBreakers:
    """Breakers by job name."""

    def __init__(self, *, bounds: rules.Rules) -> None:
        self.bounds = bounds
        self.breakers: dict[names.JobName, Breaker] = {}

    def record_success(self, job: names.JobName) -> None:
        """A success closes the breaker."""
        self.breakers.pop(job, None)

    def record_failure(
        self,
        job: names.JobName,
        name: names.UpstreamName,
        *,
        serves_others: bool,
        now_s: float,
    ) -> bool:
        """Count a failure.

        Args:
            job: Job that failed.
            name: Upstream it failed on.
            serves_others: Whether no other job fails there at present.
            now_s: Monotonic time.

        Returns:
            Whether the breaker opened: the job itself is at fault.
        """
        breaker = self.breakers.setdefault(job, Breaker())
        if serves_others:
            breaker.failed_on.add(name)
        enough = len(breaker.failed_on) >= self.bounds.distinct_upstreams
        retried = breaker.state is BreakerState.HALF_OPEN
        if breaker.state is BreakerState.OPEN or not (enough or retried):
            return False
        breaker.opened += 1
        breaker.state = BreakerState.OPEN
        breaker.until_s = now_s + self.bounds.ejection_s(breaker.opened)
        return True

    def is_suspended(self, job: names.JobName) -> bool:
        """Return whether the job is at fault for its failures."""
        breaker = self.breakers.get(job)
        return breaker is not None and breaker.state is not BreakerState.CLOSED

    def try_admit(self, job: names.JobName, now_s: float) -> bool:
        """Return whether a submission is taken; one probes an open breaker."""
        breaker = self.breakers.get(job)
        if breaker is None or breaker.state is BreakerState.CLOSED:
            return True
        if now_s < breaker.until_s:
            return False
        breaker.state = BreakerState.HALF_OPEN
        breaker.until_s = now_s + self.bounds.ejection_s(breaker.opened)
        return True

    def retry_after_s(self, job: names.JobName, now_s: float) -> float:
        """Return the seconds until the breaker lets a submission through."""
        breaker = self.breakers.get(job)
        return max(0, breaker.until_s - now_s) if breaker else 0
