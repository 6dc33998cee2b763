"""Segments that this instance writes, with their last known table state."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.submissions import holds, records


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """One record of a segment.

    Attributes:
        record: The record to write.
        written: The record confirmed to be in the table, if there is one.
        sent: Whether a write of the record may have been sent.
        hold: Hold of the submission; None if this instance does not own it.
        required: Whether the submission may not run without the record.
    """

    record: records.Record
    written: records.Record | None = None
    sent: bool = False
    hold: holds.Hold | None = None
    required: bool = False

    def dirty(self) -> bool:
        """Return whether the record is not confirmed as written."""
        return self.record is not self.written and self.record != self.written

    def urgent(self) -> bool:
        """Return whether a submission waits for the write."""
        if not self.dirty():
            return False
        if self.record.state is not records.RecordState.DONE:
            return True
        return self.hold is not None and self.hold.held()

    def withdrawn(self) -> bool:
        """Return whether the owner started it before any write was sent."""
        unsent = self.hold is not None and not self.sent
        queued = self.record.state is records.RecordState.QUEUED
        return (
            unsent
            and queued
            and self.hold is not None
            and self.hold.state is holds.HoldState.OPEN
        )

    def finished(self) -> bool:
        """Return whether the record needs no further write or decision."""
        if self.dirty():
            return False
        return self.hold is None or (
            self.record.state is records.RecordState.DONE
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenSegment:
    """One row that this instance writes.

    Attributes:
        key: Key of the row.
        version: Last known version of the row.
        entries: Entries by submission id.
        adopting: Whether the row belongs to another holder until the next
            write commits.
        single: Whether the row must be new and has one record only.
        index: Whether the row lists buckets and is never dropped.
    """

    key: str
    version: int = 0
    entries: dict[names.SubmissionId, Entry] = dataclasses.field(
        default_factory=dict
    )
    adopting: bool = False
    single: bool = False
    index: bool = False

    def dirty(self) -> bool:
        """Return whether the row has to be written."""
        return self.adopting or any(
            entry.dirty() for entry in self.entries.values()
        )

    def urgent(self) -> bool:
        """Return whether a submission waits for the write."""
        return self.adopting or any(
            entry.urgent() for entry in self.entries.values()
        )

    def finished(self) -> bool:
        """Return whether the row needs no further write."""
        return not (self.adopting or self.index) and all(
            entry.finished() for entry in self.entries.values()
        )

    def size(self) -> int:
        """Return the approximate size of the row in bytes."""
        return sum(entry.record.size() for entry in self.entries.values())

    def drop_withdrawn(self) -> list[names.SubmissionId]:
        """Remove the entries of submissions that started unrecorded.

        Returns:
            Ids of these submissions.
        """
        withdrawn = [
            submission_id
            for submission_id, entry in self.entries.items()
            if entry.withdrawn()
        ]
        for submission_id in withdrawn:
            self.entries.pop(submission_id)
        return withdrawn

    def snapshot(self) -> tuple[records.Record, ...]:
        """Return the records to write."""
        return tuple(entry.record for entry in self.entries.values())

    def mark_sent(self) -> frozenset[names.SubmissionId]:
        """Mark all records as possibly written from now on.

        Returns:
            Ids of the records that no earlier write carried.
        """
        first_sent = frozenset(
            submission_id
            for submission_id, entry in self.entries.items()
            if not entry.sent
        )
        for entry in self.entries.values():
            entry.sent = True
            _hold_unsent(entry)
        return first_sent


def _hold_unsent(entry: Entry) -> None:
    unsent = (
        entry.hold is not None and entry.hold.state is holds.HoldState.UNSENT
    )
    if entry.hold is not None and unsent:
        entry.hold.state = holds.HoldState.HELD
