"""Closes upstreams that leave or fail, and suspends jobs that always fail."""

from collections.abc import Callable
from typing import Any, Final

import loguru

from guavaroad.domain import attempts, codes, jobs, names
from guavaroad.domain.health import (
    departure_tracker,
    job_breakers,
    rules,
    upstream_health_tracker,
    upstream_record,
)
from guavaroad.domain.slots import messages, table
from guavaroad.ports import peers, timers

_LOG: Final = loguru.logger.bind(part='health')
_CHECK_INTERVAL_S: Final = 0.25

LeavingCallback = Callable[[names.UpstreamName, str], object]


class HealthService:
    """Feeds outcomes to the health trackers and applies them to the slots."""

    def __init__(
        self,
        *,
        slots: table.SlotTable,
        timer_service: timers.TimerService,
        bounds: rules.Rules,
    ) -> None:
        self.slots = slots
        self.timers = timer_service
        self.upstreams = upstream_health_tracker.UpstreamHealthTracker(
            bounds=bounds
        )
        self.jobs = job_breakers.JobBreakers(bounds=bounds)
        self.departures = departure_tracker.DepartureTracker()
        self.on_upstream_leaving: list[LeavingCallback] = []
        timer_service.subscribe(_CHECK_INTERVAL_S, self.tick)

    def tick(self) -> None:
        """End expired ejections, and evaluate success rates."""
        self.upstreams.tick(self.timers.now())
        self.apply()

    def list_upstreams(self, listed: tuple[table.UpstreamUse, ...]) -> None:
        """Apply a new list of upstreams."""
        upstreams = tuple(use.upstream for use in listed)
        self.upstreams.set_upstreams({upstream.name for upstream in upstreams})
        self.departures.apply_list(upstreams, self.timers.now())
        self.apply()

    def on_leaving_notice(
        self, _: peers.Peer, notice: messages.LeavingNotice
    ) -> None:
        """Handle a peer's notice that an upstream is leaving."""
        name = names.UpstreamName(notice.upstream)
        use = self.slots.uses.get(name)
        if use is not None and use.upstream.address == notice.address:
            source = departure_tracker.NoticeSource.PEER
            self.record_notice(name, notice.address, source)

    def record_notice(
        self,
        name: names.UpstreamName,
        address: str,
        source: departure_tracker.NoticeSource,
    ) -> bool:
        """Close an upstream at its first notice; return if it was the first."""
        notice = departure_tracker.DepartureNotice(
            source=source, received_s=self.timers.now(), address=address
        )
        is_first = self.departures.record_notice(name, notice)
        if is_first:
            _LOG.info('{} is leaving, reported by {}', name, source.value)
            self.apply()
        return is_first

    def record(
        self,
        use: table.UpstreamUse,
        job: names.JobName,
        outcome: attempts.AttemptOutcome,
    ) -> None:
        """Record the outcome of an attempt."""
        name = use.upstream.name
        match outcome:
            case attempts.Answered():
                self.upstreams.record_success(name)
                self.jobs.record_success(job)
                if outcome.leaving:
                    self.record_own_notice(use)
            case attempts.Failed() | attempts.Lost():
                self.record_failure(name, job)
            case attempts.NotStarted():
                self.record_not_started(use, job, outcome)
        current = self.slots.uses.get(name)
        if current is not None:
            self.apply_to(current)

    def record_not_started(
        self,
        use: table.UpstreamUse,
        job: names.JobName,
        outcome: attempts.NotStarted,
    ) -> None:
        """Record an attempt that started nothing; job breakers ignore it."""
        match outcome.reason:
            case attempts.NotStartedReason.LEAVING:
                self.record_own_notice(use)
            case attempts.NotStartedReason.CONNECT_FAILED:
                self.upstreams.record_failure(
                    use.upstream.name, job, self.timers.now()
                )

    def record_own_notice(self, use: table.UpstreamUse) -> None:
        """Record an upstream's own notice that it leaves, and forward it."""
        name = use.upstream.name
        source = departure_tracker.NoticeSource.UPSTREAM
        if self.record_notice(name, use.upstream.address, source):
            for callback in self.on_upstream_leaving:
                callback(name, use.upstream.address)

    def record_failure(
        self, name: names.UpstreamName, job: names.JobName
    ) -> None:
        """Count a failure against the upstream and the job.

        A job that fails at several upstreams that serve other jobs is
        suspended; its failures no longer count against the upstreams.
        """
        now_s = self.timers.now()
        if self.jobs.is_suspended(job):
            self.jobs.record_failure(
                job, name, serves_others=False, now_s=now_s
            )
            return
        failing_upstream = self.upstreams.record_of(name)
        others = failing_upstream.consecutive_failures.keys() - {job}
        self.upstreams.record_failure(name, job, now_s)
        opened = self.jobs.record_failure(
            job, name, serves_others=not others, now_s=now_s
        )
        if opened:
            _LOG.warning(
                'job {} is suspended: it fails on several upstreams',
                job,
            )
            self.upstreams.clear_failures(job)
            self.apply()

    def refusal(self, job: names.JobName) -> jobs.JobNotCompleted | None:
        """Return the refusal of a job; none if it is not suspended."""
        now_s = self.timers.now()
        retry_after_s = self.jobs.retry_after_s(job, now_s)
        if self.jobs.try_admit(job, now_s):
            return None
        code = codes.ResultCode.JOB_SUSPENDED
        return jobs.JobNotCompleted(
            code=code,
            detail=codes.info_of(code).meaning,
            retry_after_s=retry_after_s,
        )

    def apply(self) -> None:
        """Set the state of every use from the health trackers."""
        for use in self.slots.uses.values():
            self.apply_to(use)

    def apply_to(self, use: table.UpstreamUse) -> None:
        """Set the state of one use from the health trackers."""
        upstream_health = self.upstreams.record_of(use.upstream.name)
        ejected = upstream_health.state is upstream_record.HealthState.EJECTED
        probing = upstream_health.state is upstream_record.HealthState.PROBING
        closed = ejected or self.departures.is_leaving(use.upstream.name)
        if (use.closed, use.probing) == (closed, probing):
            return
        if ejected:
            _LOG.warning(
                '{} is ejected: {}',
                use.upstream.name,
                upstream_health.reason,
            )
        self.slots.set_state(use, closed=closed, probing=probing)

    def describe(self) -> dict[str, Any]:
        """Return why upstreams are closed and jobs suspended."""
        return {
            'upstreams': {
                name: {
                    'state': upstream_health.state.value,
                    'reason': upstream_health.reason,
                    'ejections': upstream_health.ejections,
                }
                for name, upstream_health in self.upstreams.records.items()
                if upstream_health.state
                is not upstream_record.HealthState.HEALTHY
            },
            'leaving': {
                name: notice.source.value
                for name, notice in self.departures.notices.items()
            },
            'jobs': {
                name: breaker.state.value
                for name, breaker in self.jobs.breakers.items()
                if breaker.state is not job_breakers.BreakerState.CLOSED
            },
        }
