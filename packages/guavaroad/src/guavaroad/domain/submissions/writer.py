"""Writes records behind the work: many submissions in one transaction.

One transaction is in flight at a time and is resent unchanged until its
outcome is known, so a write that takes effect late changes nothing that was
decided meanwhile.
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
    segment_registry,
    segments,
    settlement,
)

MAX_ROWS: Final = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class Flight:
    """The transaction whose outcome is not known yet.

    Attributes:
        transaction: What was sent.
        first_sent: Ids that no earlier transaction carried.
        maybe: Whether a send of it may have arrived.
    """

    transaction: messages.Transaction
    first_sent: frozenset[names.SubmissionId]
    maybe: bool = False


class GroupWriter(segment_registry.SegmentRegistry):
    """Keeps this instance's records and brings the table up to date.

    Attributes:
        owner: This incarnation, as `records.format_owner` writes it.
        pending: Transaction without a known outcome, if there is one.
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
        self.pending: Flight | None = None

    def put(
        self,
        prefix: str,
        record: records.Record,
        *,
        hold: holds.Hold,
        required: bool = False,
    ) -> None:
        """Ask for a new record.

        Args:
            prefix: Key prefix of the rows that may hold it.
            record: The record.
            hold: Guard of the submission; a `queued` record sets it.
            required: Whether it may not run without the record.
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
        """Ask for a row of its own that must not exist yet."""
        hold.state = holds.HoldState.HELD
        segment = segments.OpenSegment(key=key, single=True)
        segment.entries[record.submission_id] = segments.Entry(
            record=record, hold=hold, required=True
        )
        self.segments[key] = segment
        self.row_keys[record.submission_id] = key

    def index_bucket(self, key: str, bucket: str) -> None:
        """List a bucket in the index row of this owner.

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
        """Return whether a write is awaited, and whether any is to be sent."""
        kept = tuple(self.segments.values())
        urgent = any(map(segments.OpenSegment.urgent, kept))
        dirty = any(map(segments.OpenSegment.dirty, kept))
        return urgent, dirty or self.pending is not None

    def adopt(self, row: messages.FoundRow) -> None:
        """Ask to take over the row of a lost holder."""
        if row.key in self.segments:
            return
        segment = settlement.adoption(row, self.owner)
        self.segments[row.key] = segment
        for submission_id, entry in segment.entries.items():
            if entry.hold is not None:
                self.row_keys[submission_id] = row.key

    def claim(self, submission_id: names.SubmissionId) -> None:
        """Ask for the change to `started`."""
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
        """Ask for the end of a submission.

        Args:
            submission_id: Its id.
            outcome: Encoded outcome.
            object_key: Object that holds the outcome instead.

        Returns:
            Whether it has a record here; if not, put a new one.
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
        """Return what to send now, if anything.

        Call it only while no send is waiting for its answer.  A transaction
        without a known outcome is returned again, unchanged.
        """
        if self.pending is not None:
            return self.pending.transaction
        chosen = self.choose(self.max_rows)
        if not chosen:
            return None
        operation_id = self.operation_ids()
        first_sent = frozenset[names.SubmissionId]().union(
            *[one.mark_sent() for one in chosen]
        )
        transaction = messages.Transaction(
            operation_id=operation_id,
            changes=tuple(self.change_of(one, operation_id) for one in chosen),
        )
        self.pending = Flight(transaction=transaction, first_sent=first_sent)
        return transaction

    def apply_result(
        self, result: messages.WriteResult
    ) -> list[messages.Event]:
        """Take the result of the last send.

        Args:
            result: What the table side reported.

        Returns:
            What the owner may rely on now.
        """
        flight = self.pending
        if flight is None:
            return []
        match result:
            case messages.WriteUnknown():
                flight.maybe = True
                return []
            case messages.WriteUnsent() if flight.maybe:
                return []
        self.pending = None
        events = settlement.Settlement(writer=self, flight=flight).take(result)
        self.trim()
        return events

    def change_of(
        self, segment: segments.OpenSegment, operation_id: str
    ) -> messages.RowChange:
        """Return the write of one row as it should be."""
        return messages.RowChange(
            key=segment.key,
            expected_version=segment.version,
            segment=records.Segment(
                holder=self.owner,
                operation_id=operation_id,
                records=segment.snapshot(),
            ),
        )
