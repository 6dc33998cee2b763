"""Keeps the rows that an instance writes, and where each record is."""

from typing import Final

from guavaroad.domain import names
from guavaroad.domain.submissions import segments, settlement

MAX_SEGMENT_BYTES: Final = 32_768
KEPT_SEGMENTS: Final = 64


class SegmentRegistry:
    """Rows by key; those that need no further write are dropped in time.

    Attributes:
        segments: Rows that are kept for writing, by key.
        row_keys: Key of the row of each submission.
        open_keys: Row with room, by prefix.
    """

    def __init__(self) -> None:
        self.segments: dict[str, segments.OpenSegment] = {}
        self.row_keys: dict[names.SubmissionId, str] = {}
        self.open_keys: dict[str, str] = {}
        self.part_count = 0

    def find(self, submission_id: names.SubmissionId) -> segments.Entry | None:
        """Return the entry of a submission, if its record is kept here."""
        key = self.row_keys.get(submission_id)
        segment = self.segments.get(key) if key else None
        return segment.entries.get(submission_id) if segment else None

    def choose(self, max_rows: int) -> list[segments.OpenSegment]:
        """Return the rows to write next, the awaited ones first."""
        for segment in self.segments.values():
            for gone in segment.drop_withdrawn():
                self.row_keys.pop(gone, None)
        dirty = [one for one in self.segments.values() if one.dirty()]
        dirty.sort(key=lambda one: not one.urgent())
        return dirty[:max_rows]

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
            if self.row_keys.get(submission_id) == key:
                self.row_keys.pop(submission_id)
        prefix = settlement.prefix_of(key)
        if self.open_keys.get(prefix) == key:
            self.open_keys.pop(prefix)

    def unwritten(self) -> int:
        """Return how many records the table does not have yet."""
        return sum(
            entry.dirty()
            for one in self.segments.values()
            for entry in one.entries.values()
        )

    def trim(self) -> None:
        """Stop keeping the oldest rows that need no further write."""
        excess = len(self.segments) - KEPT_SEGMENTS
        if excess <= 0:
            return
        finished = [key for key, one in self.segments.items() if one.finished()]
        for key in finished[:excess]:
            self.forget(key)
