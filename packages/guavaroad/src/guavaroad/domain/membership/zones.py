"""State of the other zones, from the reports of their instances."""

import dataclasses
from typing import Final

from guavaroad.domain import identity, names
from guavaroad.domain.membership import member_state, messages, timing

_MAX_REVISIONS: Final = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemoteMember:
    """Another instance with its state.

    Attributes:
        incarnation: Incarnation of the process.
        peer_address: Address that receives peer messages.
        state: State of the instance.
    """

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    state: member_state.MemberState


@dataclasses.dataclass(slots=True, kw_only=True)
class Reporter:
    """Last report of one instance on its own zone.

    Attributes:
        revision: Revision of the report.
        received_s: Monotonic time of receipt, in seconds.
        resolved_revision: Last reported revision whose records are known.
    """

    revision: int
    received_s: float
    resolved_revision: int

    def state(self, now_s: float) -> member_state.MemberState:
        """Return the state that follows from the age of the report."""
        report_age_s = now_s - self.received_s
        if report_age_s >= timing.DEAD_TIMEOUT_S:
            return member_state.MemberState.DEAD
        if report_age_s >= timing.SUSPECT_TIMEOUT_S:
            return member_state.MemberState.SUSPECT
        return member_state.MemberState.ALIVE


class Zone:
    """State of one other zone."""

    def __init__(self, *, name: names.AvailabilityZone) -> None:
        self.name = name
        self.reporters: dict[names.Epoch, Reporter] = {}
        self.revisions: dict[int, tuple[messages.MemberRecord, ...]] = {}
        self.last_seen: dict[names.Epoch, messages.MemberRecord] = {}

    def apply_report(self, report: messages.ZoneReport, now_s: float) -> bool:
        """Apply a zone report.

        Args:
            report: Report of one instance on this zone.
            now_s: Current monotonic time in seconds.

        Returns:
            Whether the records of the reported revision are known.
        """
        if report.records:
            self.add_revision(report.revision, report.records)
        reporter = self.reporters.get(report.reporter)
        is_known = report.revision in self.revisions
        last_resolved = (
            report.revision if reporter is None else reporter.resolved_revision
        )
        self.reporters[report.reporter] = Reporter(
            revision=report.revision,
            received_s=now_s,
            resolved_revision=report.revision if is_known else last_resolved,
        )
        return is_known

    def records_of(
        self, reporter: Reporter
    ) -> tuple[messages.MemberRecord, ...]:
        """Return the records of the reporter's last resolved revision."""
        last_records = self.revisions.get(reporter.resolved_revision, ())
        return self.revisions.get(reporter.revision, last_records)

    def add_revision(
        self, revision: int, records: tuple[messages.MemberRecord, ...]
    ) -> None:
        """Store the records of a revision, evicting the oldest ones."""
        self.revisions.pop(revision, None)
        self.revisions[revision] = records
        for record in records:
            self.last_seen[record.epoch] = record
        while len(self.revisions) > _MAX_REVISIONS:
            self.revisions.pop(next(iter(self.revisions)))

    def members(self, now_s: float) -> dict[names.Epoch, RemoteMember]:
        """Return every instance of the zone with its state.

        An instance is dead once no current report contains it.
        """
        members = {
            epoch: self.to_member(record, member_state.MemberState.DEAD)
            for epoch, record in self.last_seen.items()
        }
        for reporter in self.by_last_report():
            state = reporter.state(now_s)
            if state is member_state.MemberState.DEAD:
                continue
            for record in self.records_of(reporter):
                members[record.epoch] = self.to_member(record, state)
        return members

    def by_last_report(self) -> list[Reporter]:
        """Return the reporters in order of their last report."""
        return sorted(
            self.reporters.values(), key=lambda reporter: reporter.received_s
        )

    def largest_report(self, now_s: float) -> messages.ZoneReport | None:
        """Return the current report with the most instances."""
        reports = [
            messages.ZoneReport(
                zone=self.name,
                reporter=epoch,
                revision=reporter.revision,
                records=self.revisions.get(reporter.revision, ()),
            )
            for epoch, reporter in self.reporters.items()
            if reporter.state(now_s) is member_state.MemberState.ALIVE
        ]
        return max(
            reports, key=lambda report: len(report.records), default=None
        )

    def to_member(
        self, record: messages.MemberRecord, state: member_state.MemberState
    ) -> RemoteMember:
        """Return the instance of a record in the given state."""
        if record.leaving and state is not member_state.MemberState.DEAD:
            state = member_state.MemberState.LEAVING
        return RemoteMember(
            incarnation=record.incarnation(self.name),
            peer_address=record.peer_address,
            state=state,
        )

    def live_records(self, now_s: float) -> tuple[messages.MemberRecord, ...]:
        """Return the live instances, which may be targets of reports."""
        members = self.members(now_s)
        return tuple(
            record
            for epoch, record in self.last_seen.items()
            if members[epoch].state is member_state.MemberState.ALIVE
        )

    def discount_pause(self, pause_s: float) -> None:
        """Move all report times forward by a pause of this process."""
        for reporter in self.reporters.values():
            reporter.received_s += pause_s

    def evict_dead(self, now_s: float) -> list[messages.MemberRecord]:
        """Evict old reporters and the instances that no reporter contains.

        Args:
            now_s: Current monotonic time in seconds.

        Returns:
            The evicted instances.
        """
        self.reporters = {
            epoch: reporter
            for epoch, reporter in self.reporters.items()
            if now_s - reporter.received_s <= timing.EVICTION_AGE_S
        }
        reported = {
            record.epoch
            for reporter in self.reporters.values()
            for record in self.records_of(reporter)
        }
        evicted = [
            record
            for epoch, record in self.last_seen.items()
            if epoch not in reported
        ]
        for record in evicted:
            self.last_seen.pop(record.epoch)
        return evicted
