"""Ejects upstreams that fail, and lets them back after one probe."""

import math
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.health import rules, upstream_record

_PROBED: Final = (
    upstream_record.HealthState.EJECTED,
    upstream_record.HealthState.PROBING,
)


class UpstreamHealthTracker:
    """Health of every upstream, as one instance saw it."""

    def __init__(self, *, bounds: rules.Rules) -> None:
        self.bounds = bounds
        self.records: dict[
            names.UpstreamName, upstream_record.UpstreamRecord
        ] = {}
        self.window_end_s: float = 0

    def set_upstreams(self, listed: set[names.UpstreamName]) -> None:
        """Keep records for the listed upstreams only."""
        self.records = {
            name: self.records.get(name) or upstream_record.UpstreamRecord()
            for name in listed
        }

    def record_of(
        self, name: names.UpstreamName
    ) -> upstream_record.UpstreamRecord:
        """Return the record of an upstream."""
        return self.records.setdefault(name, upstream_record.UpstreamRecord())

    def record_success(self, name: names.UpstreamName) -> None:
        """Count a success; it lets a probed upstream back."""
        known = self.record_of(name)
        known.succeeded()
        if known.state is upstream_record.HealthState.PROBING:
            known.state = upstream_record.HealthState.HEALTHY
            known.reason = ''

    def record_failure(
        self, name: names.UpstreamName, job: names.JobName, now_s: float
    ) -> None:
        """Count a failure; it may eject the upstream."""
        known = self.record_of(name)
        known.failed(job)
        if known.state is upstream_record.HealthState.PROBING:
            self.eject(known, 'the probe failed', now_s)
        in_a_row = sum(known.consecutive_failures.values())
        if in_a_row >= self.bounds.failures_in_a_row:
            self.eject(known, f'{in_a_row} failures in a row', now_s)

    def eject(
        self, known: upstream_record.UpstreamRecord, reason: str, now_s: float
    ) -> None:
        """Eject an upstream unless too many are ejected already."""
        if known.state is upstream_record.HealthState.EJECTED:
            return
        if (
            known.state is upstream_record.HealthState.HEALTHY
            and not self.may_eject()
        ):
            return
        known.ejections += 1
        known.state = upstream_record.HealthState.EJECTED
        known.reason = reason
        known.until_s = now_s + self.bounds.ejection_s(known.ejections)

    def may_eject(self) -> bool:
        """Return whether one more upstream may be ejected."""
        count = len(self.records)
        out = sum(known.state in _PROBED for known in self.records.values())
        most = max(1, math.floor(count * self.bounds.most_ejected))
        return out < min(most, count - 1)

    def clear_failures(self, job: names.JobName) -> None:
        """Take a job's failures back from every upstream."""
        for known in self.records.values():
            blamed = known.consecutive_failures.keys() == {job}
            known.forgive(job)
            if blamed and known.state in _PROBED:
                known.state = upstream_record.HealthState.HEALTHY
                known.ejections -= 1
                known.reason = ''

    def tick(self, now_s: float) -> None:
        """End ejections, and judge success rates at the end of a window."""
        for known in self.records.values():
            ended = known.until_s <= now_s
            if known.state is upstream_record.HealthState.EJECTED and ended:
                known.state = upstream_record.HealthState.PROBING
        if now_s >= self.window_end_s:
            self.window_end_s = now_s + self.bounds.window_s
            self.judge_window(now_s)

    def judge_window(self, now_s: float) -> None:
        """Eject outliers and begin a new window."""
        least = self.bounds.least_samples
        judged = [
            known for known in self.records.values() if known.samples() >= least
        ]
        for known in judged:
            others = [other for other in judged if other is not known]
            self.judge(known, others, now_s)
        for turned in self.records.values():
            if turned.samples() and not turned.failures:
                turned.ejections = 0
            turned.turn_window()

    def judge(
        self,
        known: upstream_record.UpstreamRecord,
        others: list[upstream_record.UpstreamRecord],
        now_s: float,
    ) -> None:
        """Eject an upstream whose success rate is far below the others'."""
        if not others:
            return
        mean = math.fsum(other.success_rate() for other in others)
        gap = mean / len(others) - known.success_rate()
        if gap > self.bounds.outlier_gap:
            rate = round(known.success_rate(), 2)
            self.eject(known, f'success rate {rate} is an outlier', now_s)
