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
    segments,
    settlement,
)

MAX_ROWS: Final = 8
MAX_SEGMENT_BYTES: Final = 32_768
KEPT_SEGMENTS: Final = 64


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


class GroupWriter:
    """Keeps this instance's records and brings the table up to date.

    Attributes:
        me: This incarnation, as `records.owner_text` writes it.
        segments: Rows that are kept for writing, by key.
        places: Key of the row of each submission.
        flight: Transaction without a known outcome, if there is one.
    """

    def __init__(
        self,
        *,
        me: str,
        operation_ids: Callable[[], str],
        max_rows: int = MAX_ROWS,
    ) -> None:
        self.me = me
        self.operation_ids = operation_ids
        self.max_rows = max_rows
        self.segments: dict[str, segments.OpenSegment] = {}
        self.places: dict[names.SubmissionId, str] = {}
        self.open_keys: dict[str, str] = {}
        self.part_count = 0
        self.flight: Flight | None = None

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
        self.places[record.submission_id] = segment.key

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
        self.places[record.submission_id] = key

    def adopt(self, row: messages.FoundRow) -> None:
        """Ask to take over the row of a lost holder."""
        if row.key in self.segments:
            return
        segment = settlement.adoption(row, self.me)
        self.segments[row.key] = segment
        for submission_id, entry in segment.entries.items():
            if entry.hold is not None:
                self.places[submission_id] = row.key

    def find(self, submission_id: names.SubmissionId) -> segments.Entry | None:
        """Return the entry of a submission, if its record is kept here."""
        key = self.places.get(submission_id)
        segment = self.segments.get(key) if key else None
        return segment.entries.get(submission_id) if segment else None

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
        if self.flight is not None:
            return self.flight.transaction
        chosen = self.choose()
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
        self.flight = Flight(transaction=transaction, first_sent=first_sent)
        return transaction

    def settle(self, result: messages.WriteResult) -> list[messages.Event]:
        """Take the result of the last send.

        Args:
            result: What the table side reported.

        Returns:
            What the owner may rely on now.
        """
        flight = self.flight
        if flight is None:
            return []
        match result:
            case messages.WriteUnknown():
                flight.maybe = True
                return []
            case messages.WriteUnsent() if flight.maybe:
                return []
        self.flight = None
        events = settlement.Settlement(writer=self, flight=flight).take(result)
        self.trim()
        return events

    def choose(self) -> list[segments.OpenSegment]:
        """Return the rows to write next, the awaited ones first."""
        for segment in self.segments.values():
            for gone in segment.drop_withdrawn():
                self.places.pop(gone, None)
        dirty = [one for one in self.segments.values() if one.dirty()]
        dirty.sort(key=lambda one: not one.urgent())
        return dirty[: self.max_rows]

    def change_of(
        self, segment: segments.OpenSegment, operation_id: str
    ) -> messages.RowChange:
        """Return the write of one row as it should be."""
        return messages.RowChange(
            key=segment.key,
            expected_version=segment.version,
            segment=records.Segment(
                holder=self.me,
                operation_id=operation_id,
                records=segment.snapshot(),
            ),
        )

    def segment_for(self, prefix: str) -> segments.OpenSegment:
        """Return the row of the prefix that still has room."""
        segment = self.segments.get(self.open_keys.get(prefix, ''))
        if segment is None or segment.size() > MAX_SEGMENT_BYTES:
            self.part_count += 1
            segment = segments.OpenSegment(key=f'{prefix}{self.part_count}')
            self.segments[segment.key] = segment
            self.open_keys[prefix] = segment.key
        return segment

    def forget(self, key: str) -> None:
        """Stop keeping a row."""
        segment = self.segments.pop(key, None)
        if segment is None:
            return
        for submission_id in segment.entries:
            if self.places.get(submission_id) == key:
                self.places.pop(submission_id)
        prefix = settlement.prefix_of(key)
        if self.open_keys.get(prefix) == key:
            self.open_keys.pop(prefix)

    def trim(self) -> None:
        """Stop keeping the oldest rows that need no further write."""
        excess = len(self.segments) - KEPT_SEGMENTS
        if excess <= 0:
            return
        finished = [key for key, one in self.segments.items() if one.finished()]
        for key in finished[:excess]:
            self.forget(key)
