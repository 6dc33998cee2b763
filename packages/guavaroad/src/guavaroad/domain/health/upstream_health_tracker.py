"""Ejection of failing upstreams, and their return after one probe."""

import math
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.health import rules, upstream_record

_NOT_HEALTHY: Final = (
    upstream_record.HealthState.EJECTED,
    upstream_record.HealthState.PROBING,
)


class UpstreamHealthTracker:
    """Health of every upstream, as observed by this instance."""

    def __init__(self, *, bounds: rules.Rules) -> None:
        self.bounds = bounds
        self.records: dict[
            names.UpstreamName, upstream_record.UpstreamRecord
        ] = {}
        self.window_end_s: float = 0

    def set_upstreams(self, listed: set[names.UpstreamName]) -> None:
        """Set the listed upstreams and drop the records of all others."""
        self.records = {
            name: self.records.get(name) or upstream_record.UpstreamRecord()
            for name in listed
        }

    def record_of(
        self, name: names.UpstreamName
    ) -> upstream_record.UpstreamRecord:
        """Return the record of an upstream, adding it if it is unknown."""
        return self.records.setdefault(name, upstream_record.UpstreamRecord())

    def record_success(self, name: names.UpstreamName) -> None:
        """Record a success, which ends the probing of an upstream."""
        record = self.record_of(name)
        record.record_success()
        if record.state is upstream_record.HealthState.PROBING:
            record.state = upstream_record.HealthState.HEALTHY
            record.reason = ''

    def record_failure(
        self, name: names.UpstreamName, job: names.JobName, now_s: float
    ) -> None:
        """Record a failure, which may eject the upstream."""
        record = self.record_of(name)
        record.record_failure(job)
        if record.state is upstream_record.HealthState.PROBING:
            self.eject(record, 'the probe failed', now_s)
        consecutive = sum(record.consecutive_failures.values())
        if consecutive >= self.bounds.consecutive_failures:
            self.eject(record, f'{consecutive} failures in a row', now_s)

    def eject(
        self, record: upstream_record.UpstreamRecord, reason: str, now_s: float
    ) -> None:
        """Eject an upstream, unless too many are already ejected."""
        if record.state is upstream_record.HealthState.EJECTED:
            return
        if (
            record.state is upstream_record.HealthState.HEALTHY
            and not self.may_eject()
        ):
            return
        record.ejections += 1
        record.state = upstream_record.HealthState.EJECTED
        record.reason = reason
        record.until_s = now_s + self.bounds.ejection_s(record.ejections)

    def may_eject(self) -> bool:
        """Return whether another upstream may be ejected."""
        count = len(self.records)
        not_healthy = sum(
            record.state in _NOT_HEALTHY for record in self.records.values()
        )
        limit = max(1, math.floor(count * self.bounds.max_ejected))
        return not_healthy < min(limit, count - 1)

    def clear_failures(self, job: names.JobName) -> None:
        """Clear the failures of a job at every upstream.

        An upstream that was ejected for this job alone becomes healthy.
        """
        for record in self.records.values():
            is_only_cause = record.consecutive_failures.keys() == {job}
            record.clear_failures(job)
            if is_only_cause and record.state in _NOT_HEALTHY:
                record.state = upstream_record.HealthState.HEALTHY
                record.ejections -= 1
                record.reason = ''

    def tick(self, now_s: float) -> None:
        """End ejections, and evaluate the window when it is over."""
        for record in self.records.values():
            is_over = record.until_s <= now_s
            if record.state is upstream_record.HealthState.EJECTED and is_over:
                record.state = upstream_record.HealthState.PROBING
        if now_s >= self.window_end_s:
            self.window_end_s = now_s + self.bounds.window_s
            self.evaluate_window(now_s)

    def evaluate_window(self, now_s: float) -> None:
        """Eject outliers and start a new window."""
        min_samples = self.bounds.min_samples
        evaluated = [
            record
            for record in self.records.values()
            if record.samples() >= min_samples
        ]
        for record in evaluated:
            others = [other for other in evaluated if other is not record]
            self.evaluate(record, others, now_s)
        for tracked in self.records.values():
            if tracked.samples() and not tracked.failures:
                tracked.ejections = 0
            tracked.start_window()

    def evaluate(
        self,
        record: upstream_record.UpstreamRecord,
        others: list[upstream_record.UpstreamRecord],
        now_s: float,
    ) -> None:
        """Eject an upstream whose success rate is far below the mean."""
        if not others:
            return
        rate_sum = math.fsum(other.success_rate() for other in others)
        gap = rate_sum / len(others) - record.success_rate()
        if gap > self.bounds.outlier_gap:
            rate = round(record.success_rate(), 2)
            self.eject(record, f'success rate {rate} is an outlier', now_s)
