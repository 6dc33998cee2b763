"""The other zones, known from the reports of their own instances."""

import dataclasses
from typing import Final

from guavaroad.domain import identity, names
from guavaroad.domain.membership import member_state, messages, timing

_MAX_REVISIONS: Final = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemoteMember:
    """An instance of another zone.

    Attributes:
        incarnation: The process.
        peer_address: Where it takes messages.
        state: What is believed of it.
    """

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    state: member_state.MemberState


@dataclasses.dataclass(slots=True, kw_only=True)
class Reporter:
    """The last report of one instance on its own zone.

    Attributes:
        revision: Hash of the records it named.
        heard_s: When the report came, seconds.
        shown: Latest revision of it whose records were known.
    """

    revision: int
    heard_s: float
    shown: int

    def judge(self, now_s: float) -> member_state.MemberState:
        """Judge the whole report by its age."""
        silence_s = now_s - self.heard_s
        if silence_s >= timing.DEAD_S:
            return member_state.MemberState.DEAD
        if silence_s >= timing.SUSPECT_S:
            return member_state.MemberState.SUSPECT
        return member_state.MemberState.ALIVE


class Zone:
    """One other zone."""

    def __init__(self, *, name: names.AvailabilityZone) -> None:
        self.name = name
        self.reporters: dict[names.Epoch, Reporter] = {}
        self.revisions: dict[int, tuple[messages.MemberRecord, ...]] = {}
        self.last_seen: dict[names.Epoch, messages.MemberRecord] = {}

    def take(self, report: messages.ZoneReport, now_s: float) -> bool:
        """Take a report.

        Args:
            report: What one instance says of its zone.
            now_s: Present time, seconds.

        Returns:
            Whether the records of its revision are known.
        """
        if report.records:
            self.add_revision(report.revision, report.records)
        known = self.reporters.get(report.reporter)
        is_known = report.revision in self.revisions
        before = report.revision if known is None else known.shown
        self.reporters[report.reporter] = Reporter(
            revision=report.revision,
            heard_s=now_s,
            shown=report.revision if is_known else before,
        )
        return is_known

    def records_of(
        self, reporter: Reporter
    ) -> tuple[messages.MemberRecord, ...]:
        """Return what it named, or named before while the records lack."""
        earlier = self.revisions.get(reporter.shown, ())
        return self.revisions.get(reporter.revision, earlier)

    def add_revision(
        self, revision: int, records: tuple[messages.MemberRecord, ...]
    ) -> None:
        """Keep the records of a revision."""
        self.revisions.pop(revision, None)
        self.revisions[revision] = records
        for record in records:
            self.last_seen[record.epoch] = record
        while len(self.revisions) > _MAX_REVISIONS:
            self.revisions.pop(next(iter(self.revisions)))

    def members(self, now_s: float) -> dict[names.Epoch, RemoteMember]:
        """Return every instance of the zone with its state.

        An instance lives as long as one fresh report names it.
        """
        found = {
            epoch: self.member(record, member_state.MemberState.DEAD)
            for epoch, record in self.last_seen.items()
        }
        for reporter in self.freshest_last():
            state = reporter.judge(now_s)
            if state is member_state.MemberState.DEAD:
                continue
            for record in self.records_of(reporter):
                found[record.epoch] = self.member(record, state)
        return found

    def freshest_last(self) -> list[Reporter]:
        """Return the reporters, the latest heard at the end."""
        return sorted(self.reporters.values(), key=lambda one: one.heard_s)

    def freshest(self, now_s: float) -> messages.ZoneReport | None:
        """Return the latest live report that names the most instances."""
        found = [
            messages.ZoneReport(
                zone=self.name,
                reporter=epoch,
                revision=reporter.revision,
                records=self.revisions.get(reporter.revision, ()),
            )
            for epoch, reporter in self.reporters.items()
            if reporter.judge(now_s) is member_state.MemberState.ALIVE
        ]
        return max(found, key=lambda one: len(one.records), default=None)

    def member(
        self, record: messages.MemberRecord, state: member_state.MemberState
    ) -> RemoteMember:
        """Return an instance of this zone."""
        if record.leaving and state is not member_state.MemberState.DEAD:
            state = member_state.MemberState.LEAVING
        return RemoteMember(
            incarnation=record.incarnation(self.name),
            peer_address=record.peer_address,
            state=state,
        )

    def live_records(self, now_s: float) -> tuple[messages.MemberRecord, ...]:
        """Return the instances that may be linked to."""
        members = self.members(now_s)
        return tuple(
            record
            for epoch, record in self.last_seen.items()
            if members[epoch].state is member_state.MemberState.ALIVE
        )

    def excuse(self, gap_s: float) -> None:
        """Forgive the zone a gap in which this process stood still."""
        for reporter in self.reporters.values():
            reporter.heard_s += gap_s

    def evict_dead(self, now_s: float) -> list[messages.MemberRecord]:
        """Drop old reporters; drop and return instances long unnamed."""
        self.reporters = {
            epoch: reporter
            for epoch, reporter in self.reporters.items()
            if now_s - reporter.heard_s <= timing.FORGET_S
        }
        named = {
            record.epoch
            for reporter in self.reporters.values()
            for record in self.records_of(reporter)
        }
        gone = [
            record
            for epoch, record in self.last_seen.items()
            if epoch not in named
        ]
        for record in gone:
            self.last_seen.pop(record.epoch)
        return gone
