"""Asynchronous group commit of records: many submissions a transaction.

One transaction is in flight
at a time and is resent unchanged until its result is known, so that a write
that takes effect late does not alter anything that was decided meanwhile.
"""

import dataclasses
from collections.abc import Callable
from typing import Final

import msgspec

from guavaroad.domain import names
from guavaroad.domain.submissions import (
    holds,
    messages,
    records,
    result_handler,
    segment_registry,
    segments,
)

MAX_ROWS: Final = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingTransaction:
    """The transaction whose result is not known yet.

    Attributes:
        transaction: What was sent.
        first_sent: Ids of the records that no earlier transaction carried.
        maybe_delivered: Whether an earlier send of it may have arrived.
    """

    transaction: messages.Transaction
    first_sent: frozenset[names.SubmissionId]
    maybe_delivered: bool = False


class GroupWriter(segment_registry.SegmentRegistry):
    """Collects the records of this instance and writes them to the table.

    Attributes:
        owner: This incarnation, as `records.format_owner` writes it.
        operation_ids: Returns a new operation id on each call.
        max_rows: Maximum number of rows in a transaction.
        pending: Transaction whose result is not known, if there is one.
    """

    def __init__(
        self,
        *,
        owner: str,
        operation_ids: Callable[[], str],
        max_rows: int = MAX_ROWS,
    ) -> None:
        self.owner = owner
        self.operation_ids = operation_ids
        self.max_rows = max_rows
        super().__init__()
        self.pending: PendingTransaction | None = None

    def put(
        self,
        prefix: str,
        record: records.Record,
        *,
        hold: holds.Hold,
        required: bool = False,
    ) -> None:
        """Request a new record.

        Args:
            prefix: Key prefix of the rows that may contain it.
            record: The record.
            hold: Hold of the submission; a `queued` record sets it.
            required: Whether the submission may not run without the record.
        """
        if required:
            hold.state = holds.HoldState.HELD
        elif record.state is records.RecordState.QUEUED:
            hold.state = holds.HoldState.UNSENT
        segment = self.segment_for(prefix)
        segment.entries[record.submission_id] = segments.Entry(
            record=record, hold=hold, required=required
        )
        self.row_keys[record.submission_id] = segment.key

    def insert(
        self, key: str, record: records.Record, hold: holds.Hold
    ) -> None:
        """Request a new row for one required record.

        Args:
            key: Key of the row, which must not exist yet.
            record: The record.
            hold: Hold of the submission, which this sets.
        """
        hold.state = holds.HoldState.HELD
        segment = segments.OpenSegment(key=key, single=True)
        segment.entries[record.submission_id] = segments.Entry(
            record=record, hold=hold, required=True
        )
        self.segments[key] = segment
        self.row_keys[record.submission_id] = key

    def index_bucket(self, key: str, bucket: str) -> None:
        """Request that a bucket is listed in the index row of this owner.

        Args:
            key: Key of the index row.
            bucket: Bucket with `queued` records.
        """
        segment = self.segments.setdefault(
            key, segments.OpenSegment(key=key, index=True)
        )
        entry_id = names.SubmissionId(bucket)
        if entry_id not in segment.entries:
            record = records.Record(
                submission_id=entry_id,
                state=records.RecordState.QUEUED,
                owner=self.owner,
            )
            segment.entries[entry_id] = segments.Entry(record=record)

    def backlog(self) -> tuple[bool, bool]:
        """Return whether there are writes to send.

        Returns:
            Whether a submission waits for a write, and whether any write is
            left.
        """
        registered = tuple(self.segments.values())
        urgent = any(map(segments.OpenSegment.urgent, registered))
        dirty = any(map(segments.OpenSegment.dirty, registered))
        return urgent, dirty or self.pending is not None

    def adopt(self, row: messages.FoundRow) -> None:
        """Request the takeover of a lost holder's row."""
        if row.key in self.segments:
            return
        segment = result_handler.adopt_row(row, self.owner)
        self.segments[row.key] = segment
        for submission_id, entry in segment.entries.items():
            if entry.hold is not None:
                self.row_keys[submission_id] = row.key

    def claim(self, submission_id: names.SubmissionId) -> None:
        """Request the change of a `queued` record to `started`."""
        entry = self.find(submission_id)
        queued = records.RecordState.QUEUED
        if entry is not None and entry.record.state is queued:
            entry.record = msgspec.structs.replace(
                entry.record, state=records.RecordState.STARTED, body=b''
            )

    def finish(
        self,
        submission_id: names.SubmissionId,
        outcome: bytes,
        object_key: str = '',
    ) -> bool:
        """Request the change of a record to `done`.

        Args:
            submission_id: Id of the submission.
            outcome: Encoded outcome.
            object_key: Key of the object that stores the outcome instead.

        Returns:
            Whether the record is registered here; if not, the caller has to
            put a new one.
        """
        entry = self.find(submission_id)
        if entry is None:
            return False
        entry.record = msgspec.structs.replace(
            entry.record,
            state=records.RecordState.DONE,
            body=b'',
            outcome=outcome,
            object_key=object_key,
        )
        return True

    def next_transaction(self) -> messages.Transaction | None:
        """Return the transaction to send now, if there is any.

        Must not be called while a send waits for its answer.  A transaction
        without a known result is returned again unchanged.
        """
        if self.pending is not None:
            return self.pending.transaction
        chosen = self.choose(self.max_rows)
        if not chosen:
            return None
        operation_id = self.operation_ids()
        first_sent = frozenset[names.SubmissionId]().union(
            *[segment.mark_sent() for segment in chosen]
        )
        transaction = messages.Transaction(
            operation_id=operation_id,
            changes=tuple(
                self.change_of(segment, operation_id) for segment in chosen
            ),
        )
        self.pending = PendingTransaction(
            transaction=transaction, first_sent=first_sent
        )
        return transaction

    def apply_result(
        self, result: messages.WriteResult
    ) -> list[messages.Event]:
        """Apply the result of the last send.

        Args:
            result: Result as the table reported it.

        Returns:
            Events for the owner.
        """
        pending = self.pending
        if pending is None:
            return []
        match result:
            case messages.WriteUnknown():
                pending.maybe_delivered = True
                return []
            case messages.WriteUnsent() if pending.maybe_delivered:
                return []
        self.pending = None
        events = result_handler.ResultHandler(
            writer=self, pending=pending
        ).apply(result)
        self.evict_finished()
        return events

    def change_of(
        self, segment: segments.OpenSegment, operation_id: str
    ) -> messages.RowChange:
        """Return the write that brings a row up to date."""
        return messages.RowChange(
            key=segment.key,
            expected_version=segment.version,
            segment=records.Segment(
                holder=self.owner,
                operation_id=operation_id,
                records=segment.snapshot(),
            ),
        )
