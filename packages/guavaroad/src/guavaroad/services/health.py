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
_TICK_S: Final = 0.25

NoticeFollower = Callable[[names.UpstreamName, str], object]


class HealthService:
    """Feeds outcomes to the books and applies them to the slot table."""

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
        self.leaving = departure_tracker.DepartureTracker()
        self.on_upstream_leaving: list[NoticeFollower] = []
        timer_service.subscribe(_TICK_S, self.tick)

    def tick(self) -> None:
        """End ejections that are over, and judge success rates."""
        self.upstreams.tick(self.timers.now())
        self.apply()

    def list_upstreams(self, listed: tuple[table.UpstreamUse, ...]) -> None:
        """Take a new list of the platform."""
        known = tuple(use.upstream for use in listed)
        self.upstreams.set_upstreams({one.name for one in known})
        self.leaving.apply_list(known, self.timers.now())
        self.apply()

    def on_leaving_notice(
        self, _: peers.Peer, notice: messages.LeavingNotice
    ) -> None:
        """Take the notice of a peer that an upstream leaves."""
        name = names.UpstreamName(notice.upstream)
        known = self.slots.uses.get(name)
        if known is not None and known.upstream.address == notice.address:
            source = departure_tracker.NoticeSource.PEER
            self.take_notice(name, notice.address, source)

    def take_notice(
        self,
        name: names.UpstreamName,
        address: str,
        source: departure_tracker.NoticeSource,
    ) -> bool:
        """Close an upstream at its first notice; return if it is the first."""
        notice = departure_tracker.DepartureNotice(
            source=source, noticed_s=self.timers.now(), address=address
        )
        first = self.leaving.record_notice(name, notice)
        if first:
            _LOG.info('{} leaves, told by {}', name, source.value)
            self.apply()
        return first

    def record(
        self,
        use: table.UpstreamUse,
        job: names.JobName,
        outcome: attempts.AttemptOutcome,
    ) -> None:
        """Take the outcome of an attempt."""
        name = use.upstream.name
        match outcome:
            case attempts.Answered():
                self.upstreams.record_success(name)
                self.jobs.record_success(job)
                if outcome.leaving:
                    self.own_notice(use)
            case attempts.Failed() | attempts.Lost():
                self.failed(name, job)
            case attempts.NotStarted():
                self.not_started(use, job, outcome)
        current = self.slots.uses.get(name)
        if current is not None:
            self.apply_to(current)

    def not_started(
        self,
        use: table.UpstreamUse,
        job: names.JobName,
        outcome: attempts.NotStarted,
    ) -> None:
        """Take an attempt that started nothing; the job is not to blame."""
        match outcome.reason:
            case attempts.NotStartedReason.LEAVING:
                self.own_notice(use)
            case attempts.NotStartedReason.CONNECT_FAILED:
                self.upstreams.record_failure(
                    use.upstream.name, job, self.timers.now()
                )

    def own_notice(self, use: table.UpstreamUse) -> None:
        """Take the upstream's own word that it leaves, and pass it on."""
        name = use.upstream.name
        source = departure_tracker.NoticeSource.UPSTREAM
        if self.take_notice(name, use.upstream.address, source):
            for told in self.on_upstream_leaving:
                told(name, use.upstream.address)

    def failed(self, name: names.UpstreamName, job: names.JobName) -> None:
        """Blame the upstream, or the job if it fails where others do not."""
        now_s = self.timers.now()
        if self.jobs.is_suspended(job):
            self.jobs.record_failure(
                job, name, serves_others=False, now_s=now_s
            )
            return
        known = self.upstreams.record_of(name)
        others = known.consecutive_failures.keys() - {job}
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

    def refusal(self, job: names.JobName) -> jobs.JobEnded | None:
        """Return why a job is not taken, if it is suspended."""
        now_s = self.timers.now()
        retry_after_s = self.jobs.retry_after_s(job, now_s)
        if self.jobs.try_admit(job, now_s):
            return None
        code = codes.ResultCode.JOB_SUSPENDED
        return jobs.JobEnded(
            code=code,
            detail=codes.info_of(code).meaning,
            retry_after_s=retry_after_s,
        )

    def apply(self) -> None:
        """Set the state of every use from the books."""
        for use in self.slots.uses.values():
            self.apply_to(use)

    def apply_to(self, use: table.UpstreamUse) -> None:
        """Set the state of one use from the books."""
        known = self.upstreams.record_of(use.upstream.name)
        ejected = known.state is upstream_record.HealthState.EJECTED
        probing = known.state is upstream_record.HealthState.PROBING
        closed = ejected or self.leaving.is_leaving(use.upstream.name)
        if (use.closed, use.probing) == (closed, probing):
            return
        if ejected:
            _LOG.warning(
                '{} is ejected: {}',
                use.upstream.name,
                known.reason,
            )
        self.slots.set_state(use, closed=closed, probing=probing)

    def describe(self) -> dict[str, Any]:
        """Return why upstreams are closed and jobs suspended."""
        return {
            'upstreams': {
                name: {
                    'state': known.state.value,
                    'reason': known.reason,
                    'ejections': known.ejections,
                }
                for name, known in self.upstreams.records.items()
                if known.state is not upstream_record.HealthState.HEALTHY
            },
            'leaving': {
                name: notice.source.value
                for name, notice in self.leaving.notices.items()
            },
            'jobs': {
                name: breaker.state.value
                for name, breaker in self.jobs.breakers.items()
                if breaker.state is not job_breakers.BreakerState.CLOSED
            },
        }
