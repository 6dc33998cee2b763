"""Applies the definite result of a transaction to the writer's state."""

from typing import Protocol

import msgspec

from guavaroad.domain import names
from guavaroad.domain.submissions import holds, messages, records, segments


class PendingTransaction(Protocol):
    """The transaction with the result.

    Attributes:
        transaction: What was sent.
        first_sent: Ids of the records that no earlier transaction carried.
    """

    transaction: messages.Transaction
    first_sent: frozenset[names.SubmissionId]


class Writer(Protocol):
    """The part of the group writer that a result changes.

    Attributes:
        owner: This incarnation, as `records.format_owner` writes it.
        segments: Rows by key.
    """

    owner: str
    segments: dict[str, segments.OpenSegment]

    def drop_row(self, key: str) -> None:
        """Remove a row and its entries."""

    def put(
        self,
        prefix: str,
        record: records.Record,
        *,
        hold: holds.Hold,
        required: bool = False,
    ) -> None:
        """Request a new record."""


class ResultHandler:
    """Applies the result of one transaction.

    Attributes:
        writer: The writer.
        pending: The transaction.
        events: Events for the owner.
    """

    def __init__(self, *, writer: Writer, pending: PendingTransaction) -> None:
        self.writer = writer
        self.pending = pending
        self.events: list[messages.Event] = []

    def apply(self, result: messages.WriteResult) -> list[messages.Event]:
        """Apply a definite result.

        Args:
            result: The result; `WriteUnknown` changes nothing.

        Returns:
            Events for the owner.
        """
        match result:
            case messages.WriteCommitted():
                self.on_committed()
            case messages.WriteConflict():
                self.on_conflict(result)
            case messages.WriteUnsent():
                self.on_unsent()
        return self.events

    def on_committed(self) -> None:
        """Record that all rows were written."""
        for change in self.pending.transaction.changes:
            segment = self.writer.segments.get(change.key)
            if segment is not None:
                self.on_row_written(segment, change)

    def on_row_written(
        self, segment: segments.OpenSegment, change: messages.RowChange
    ) -> None:
        """Record that one row was written."""
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
        """Add the event for a record that is confirmed as written.

        Args:
            entry: Entry of the record.
            record: The record in the table.
            adopted: Whether the write took the row over.
        """
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

    def on_conflict(self, result: messages.WriteConflict) -> None:
        """Handle rows that do not have the expected version.

        A row with the id of this transaction means that an earlier send was
        committed and its answer lost.  Any other row was taken over by
        another instance.
        """
        operation_id = self.pending.transaction.operation_id
        if any(row.segment.operation_id == operation_id for row in result.rows):
            self.on_committed()
        for row in result.rows:
            if row.segment.operation_id != operation_id:
                self.on_row_lost(row)

    def on_row_lost(self, row: messages.FoundRow) -> None:
        """Drop a row that another instance wrote."""
        segment = self.writer.segments.get(row.key)
        if segment is None:
            return
        self.writer.drop_row(row.key)
        if segment.adopting:
            return
        for entry in segment.entries.values():
            if entry.hold is None:
                continue
            if segment.single and row.segment.records:
                self.mark_moved(entry, entry.hold, row.segment.records[0])
            else:
                self.on_entry_lost(row, entry, entry.hold)

    def mark_moved(
        self, entry: segments.Entry, hold: holds.Hold, found: records.Record
    ) -> None:
        """Leave a submission to the owner that the table names."""
        hold.state = holds.HoldState.MOVED
        self.events.append(
            messages.Moved(
                submission_id=entry.record.submission_id, record=found
            )
        )

    def on_entry_lost(
        self,
        row: messages.FoundRow,
        entry: segments.Entry,
        hold: holds.Hold,
    ) -> None:
        """Decide who owns a submission whose row was lost.

        Args:
            row: The row in the table.
            entry: Entry of the submission in the dropped row.
            hold: Hold of the submission.
        """
        found = row.segment.find(entry.record.submission_id)
        if found is None:
            self.put_in_new_row(row.key, entry, hold)
            return
        queued = found.state is records.RecordState.QUEUED
        if queued or found.owner != self.writer.owner:
            self.mark_moved(entry, hold, found)
            return
        self.report(entry, found, adopted=False)
        if found != entry.record:
            self.put_in_new_row(row.key, entry, hold)

    def put_in_new_row(
        self, key: str, entry: segments.Entry, hold: holds.Hold
    ) -> None:
        """Request the record of an entry in another row of its bucket.

        Args:
            key: Key of the lost row.
            entry: The entry.
            hold: Hold of the submission.
        """
        done = entry.record.state is records.RecordState.DONE
        self.writer.put(
            prefix_of(key),
            entry.record,
            hold=hold,
            required=entry.required and not done,
        )

    def on_unsent(self) -> None:
        """Revert the rows of a transaction that was never sent."""
        for change in self.pending.transaction.changes:
            segment = self.writer.segments.get(change.key)
            if segment is not None and segment.adopting:
                self.writer.drop_row(change.key)
            elif segment is not None:
                self.release_unsent(segment)

    def release_unsent(self, segment: segments.OpenSegment) -> None:
        """Let the submissions that were first sent here run unrecorded."""
        first_sent = self.pending.first_sent & segment.entries.keys()
        done = records.RecordState.DONE
        for submission_id in sorted(first_sent):
            entry = segment.entries[submission_id]
            entry.sent = False
            if entry.hold is not None:
                entry.hold.state = holds.HoldState.OPEN
            if entry.record.state is not done:
                segment.entries.pop(submission_id)
                self.report_not_recorded(entry)

    def report_not_recorded(self, entry: segments.Entry) -> None:
        """Add the event that a required record could not be written."""
        if entry.required:
            self.events.append(
                messages.NotRecorded(submission_id=entry.record.submission_id)
            )


def prefix_of(key: str) -> str:
    """Return the key prefix that the rows of one bucket share."""
    prefix, dot, _ = key.rpartition('.')
    return prefix + dot


def adopt_row(row: messages.FoundRow, owner: str) -> segments.OpenSegment:
    """Return a row as its new holder has to write it.

    Args:
        row: Row of a holder that is believed to be dead.
        owner: The new holder, as `records.format_owner` writes it.

    Returns:
        The row with all `queued` submissions moved to the new holder and the
        others unchanged.
    """
    entries = (_adopted_entry(record, owner) for record in row.segment.records)
    return segments.OpenSegment(
        key=row.key,
        version=row.version,
        entries={entry.record.submission_id: entry for entry in entries},
        adopting=True,
    )


def _adopted_entry(record: records.Record, owner: str) -> segments.Entry:
    if record.state is not records.RecordState.QUEUED:
        return segments.Entry(record=record, written=record, sent=True)
    return segments.Entry(
        record=msgspec.structs.replace(record, owner=owner),
        sent=True,
        hold=holds.Hold(state=holds.HoldState.HELD),
    )
