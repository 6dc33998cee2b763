"""What an owner may conclude once the outcome of a transaction is known."""

from typing import Protocol

import msgspec

from guavaroad.domain import names
from guavaroad.domain.submissions import holds, messages, records, segments


class Flight(Protocol):
    """The transaction that was settled."""

    transaction: messages.Transaction
    first_sent: frozenset[names.SubmissionId]


class Writer(Protocol):
    """The part of the group writer that a settlement changes."""

    owner: str
    segments: dict[str, segments.OpenSegment]

    def forget(self, key: str) -> None:
        """Stop keeping a row."""

    def put(
        self,
        prefix: str,
        record: records.Record,
        *,
        hold: holds.Hold,
        required: bool = False,
    ) -> None:
        """Ask for a new record."""


class Settlement:
    """One settled transaction."""

    def __init__(self, *, writer: Writer, flight: Flight) -> None:
        self.writer = writer
        self.flight = flight
        self.events: list[messages.Event] = []

    def take(self, result: messages.WriteResult) -> list[messages.Event]:
        """Conclude from a definite result."""
        match result:
            case messages.WriteCommitted():
                self.committed()
            case messages.WriteConflict():
                self.conflicted(result)
            case messages.WriteUnsent():
                self.unsent()
        return self.events

    def committed(self) -> None:
        """Note what the table says now."""
        for change in self.flight.transaction.changes:
            segment = self.writer.segments.get(change.key)
            if segment is not None:
                self.written(segment, change)

    def written(
        self, segment: segments.OpenSegment, change: messages.RowChange
    ) -> None:
        """Note one written row."""
        segment.version = change.expected_version + 1
        adopted = segment.adopting
        segment.adopting = False
        for record in change.segment.records:
            entry = segment.entries.get(record.submission_id)
            if entry is not None and entry.written != record:
                entry.written = record
                self.report(entry, record, adopted=adopted)

    def report(
        self, entry: segments.Entry, record: records.Record, *, adopted: bool
    ) -> None:
        """Tell the owner what is known of one record."""
        if entry.hold is None:
            return
        submission_id = record.submission_id
        match record.state:
            case records.RecordState.QUEUED if adopted:
                self.events.append(messages.Adopted(record=record))
            case records.RecordState.QUEUED:
                self.events.append(messages.Queued(submission_id=submission_id))
            case records.RecordState.STARTED:
                entry.hold.state = holds.HoldState.OPEN
                self.events.append(
                    messages.Claimed(submission_id=submission_id)
                )
            case records.RecordState.DONE:
                entry.hold.state = holds.HoldState.OPEN
                self.events.append(messages.Ended(submission_id=submission_id))

    def conflicted(self, result: messages.WriteConflict) -> None:
        """Tell a lost answer of an own write from a row that was taken."""
        operation_id = self.flight.transaction.operation_id
        if any(row.segment.operation_id == operation_id for row in result.rows):
            self.committed()
        for row in result.rows:
            if row.segment.operation_id != operation_id:
                self.lost_row(row)

    def lost_row(self, row: messages.FoundRow) -> None:
        """Give up a row that another instance wrote."""
        segment = self.writer.segments.get(row.key)
        if segment is None:
            return
        self.writer.forget(row.key)
        if segment.adopting:
            return
        for entry in segment.entries.values():
            if entry.hold is None:
                continue
            if segment.single and row.segment.records:
                self.moved(entry, entry.hold, row.segment.records[0])
            else:
                self.lost_entry(row, entry, entry.hold)

    def moved(
        self, entry: segments.Entry, hold: holds.Hold, found: records.Record
    ) -> None:
        """Leave a submission to the owner that the table names."""
        hold.state = holds.HoldState.MOVED
        self.events.append(
            messages.Moved(
                submission_id=entry.record.submission_id, record=found
            )
        )

    def lost_entry(
        self,
        row: messages.FoundRow,
        entry: segments.Entry,
        hold: holds.Hold,
    ) -> None:
        """Decide who owns one submission of a row that was taken."""
        found = row.segment.find(entry.record.submission_id)
        if found is None:
            self.place_again(row.key, entry, hold)
            return
        queued = found.state is records.RecordState.QUEUED
        if queued or found.owner != self.writer.owner:
            self.moved(entry, hold, found)
            return
        self.report(entry, found, adopted=False)
        if found != entry.record:
            self.place_again(row.key, entry, hold)

    def place_again(
        self, key: str, entry: segments.Entry, hold: holds.Hold
    ) -> None:
        """Ask for the record in another row; it is not in this one."""
        done = entry.record.state is records.RecordState.DONE
        self.writer.put(
            prefix_of(key),
            entry.record,
            hold=hold,
            required=entry.required and not done,
        )

    def unsent(self) -> None:
        """Take back what was provably never sent."""
        for change in self.flight.transaction.changes:
            segment = self.writer.segments.get(change.key)
            if segment is not None and segment.adopting:
                self.writer.forget(change.key)
            elif segment is not None:
                self.take_back(segment)

    def take_back(self, segment: segments.OpenSegment) -> None:
        """Let the submissions of one unsent row run unrecorded."""
        first_sent = self.flight.first_sent & segment.entries.keys()
        done = records.RecordState.DONE
        for submission_id in sorted(first_sent):
            entry = segment.entries[submission_id]
            entry.sent = False
            if entry.hold is not None:
                entry.hold.state = holds.HoldState.OPEN
            if entry.record.state is not done:
                segment.entries.pop(submission_id)
                self.not_recorded(entry)

    def not_recorded(self, entry: segments.Entry) -> None:
        """Tell the owner that a required record could not be written."""
        if entry.required:
            self.events.append(
                messages.NotRecorded(submission_id=entry.record.submission_id)
            )


def prefix_of(key: str) -> str:
    """Return the prefix that the parts of one bucket share."""
    prefix, dot, _ = key.rpartition('.')
    return prefix + dot


def adoption(row: messages.FoundRow, me: str) -> segments.OpenSegment:
    """Return a row as its new holder would write it.

    Args:
        row: Row of a holder that is believed dead.
        me: The new holder.

    Returns:
        The row with every `queued` submission moved, the others unchanged.
    """
    entries = (_adopted_entry(record, me) for record in row.segment.records)
    return segments.OpenSegment(
        key=row.key,
        version=row.version,
        entries={entry.record.submission_id: entry for entry in entries},
        adopting=True,
    )


def _adopted_entry(record: records.Record, me: str) -> segments.Entry:
    if record.state is not records.RecordState.QUEUED:
        return segments.Entry(record=record, written=record, sent=True)
    return segments.Entry(
        record=msgspec.structs.replace(record, owner=me),
        sent=True,
        hold=holds.Hold(state=holds.HoldState.HELD),
    )
