"""Segments that this instance writes, as it believes the table has them."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.submissions import holds, records


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """One record of a segment.

    Attributes:
        record: What the table should say.
        written: What it is known to say; none if it has no such record.
        sent: Whether a write of the record may have been sent.
        hold: Guard of the submission; none if it is not this instance's.
        required: Whether the submission may not run without the record.
    """

    record: records.Record
    written: records.Record | None = None
    sent: bool = False
    hold: holds.Hold | None = None
    required: bool = False

    def dirty(self) -> bool:
        """Return whether the table is behind."""
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
        """Return whether nothing is left to write or to decide."""
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
        version: Version the row is known to have.
        entries: Records by submission id.
        adopting: Whether it is another holder's until the next write.
        single: Whether the row must be new and holds one record only.
    """

    key: str
    version: int = 0
    entries: dict[names.SubmissionId, Entry] = dataclasses.field(
        default_factory=dict
    )
    adopting: bool = False
    single: bool = False

    def dirty(self) -> bool:
        """Return whether any record is to be written."""
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
        return not self.adopting and all(
            entry.finished() for entry in self.entries.values()
        )

    def size(self) -> int:
        """Return about how many bytes the row takes."""
        return sum(entry.record.size() for entry in self.entries.values())

    def drop_withdrawn(self) -> list[names.SubmissionId]:
        """Remove the records whose submissions started unrecorded."""
        gone = [
            submission_id
            for submission_id, entry in self.entries.items()
            if entry.withdrawn()
        ]
        for submission_id in gone:
            self.entries.pop(submission_id)
        return gone

    def snapshot(self) -> tuple[records.Record, ...]:
        """Return the records as they should be written."""
        return tuple(entry.record for entry in self.entries.values())

    def mark_sent(self) -> frozenset[names.SubmissionId]:
        """Note that every record may be in the table from now on.

        Returns:
            Ids of the records that no earlier write carried.
        """
        first = frozenset(
            submission_id
            for submission_id, entry in self.entries.items()
            if not entry.sent
        )
        for entry in self.entries.values():
            entry.sent = True
            _hold_back(entry)
        return first


def _hold_back(entry: Entry) -> None:
    unsent = (
        entry.hold is not None and entry.hold.state is holds.HoldState.UNSENT
    )
    if entry.hold is not None and unsent:
        entry.hold.state = holds.HoldState.HELD
