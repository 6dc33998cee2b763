"""Registry of the rows that an instance writes."""

from typing import Final

from guavaroad.domain import names
from guavaroad.domain.submissions import result_handler, segments

MAX_SEGMENT_BYTES: Final = 32_768
RETAINED_SEGMENTS: Final = 64


class SegmentRegistry:
    """Rows by key; rows without pending writes are evicted, oldest first.

    Attributes:
        segments: Rows by key.
        row_keys: Key of the row of each submission.
        open_keys: Key of the row that takes new records, by prefix.
        part_count: Number of rows ever opened for new records.
    """

    def __init__(self) -> None:
        self.segments: dict[str, segments.OpenSegment] = {}
        self.row_keys: dict[names.SubmissionId, str] = {}
        self.open_keys: dict[str, str] = {}
        self.part_count = 0

    def find(self, submission_id: names.SubmissionId) -> segments.Entry | None:
        """Return the entry of a submission, if its row is registered."""
        key = self.row_keys.get(submission_id)
        segment = self.segments.get(key) if key else None
        return segment.entries.get(submission_id) if segment else None

    def choose(self, max_rows: int) -> list[segments.OpenSegment]:
        """Return the rows to write next, urgent ones first."""
        for segment in self.segments.values():
            for withdrawn in segment.drop_withdrawn():
                self.row_keys.pop(withdrawn, None)
        dirty = [row for row in self.segments.values() if row.dirty()]
        dirty.sort(key=lambda row: not row.urgent())
        return dirty[:max_rows]

    def segment_for(self, prefix: str) -> segments.OpenSegment:
        """Return the row for new records of a prefix.

        A new row is opened once the last one exceeds `MAX_SEGMENT_BYTES`.
        """
        segment = self.segments.get(self.open_keys.get(prefix, ''))
        if segment is None or segment.size() > MAX_SEGMENT_BYTES:
            self.part_count += 1
            segment = segments.OpenSegment(key=f'{prefix}{self.part_count}')
            self.segments[segment.key] = segment
            self.open_keys[prefix] = segment.key
        return segment

    def drop_row(self, key: str) -> None:
        """Remove a row and its entries from the registry."""
        segment = self.segments.pop(key, None)
        if segment is None:
            return
        for submission_id in segment.entries:
            if self.row_keys.get(submission_id) == key:
                self.row_keys.pop(submission_id)
        prefix = result_handler.prefix_of(key)
        if self.open_keys.get(prefix) == key:
            self.open_keys.pop(prefix)

    def unwritten(self) -> int:
        """Return the number of records that are not written yet."""
        return sum(
            entry.dirty()
            for segment in self.segments.values()
            for entry in segment.entries.values()
        )

    def evict_finished(self) -> None:
        """Drop the oldest finished rows beyond `RETAINED_SEGMENTS` rows."""
        excess = len(self.segments) - RETAINED_SEGMENTS
        if excess <= 0:
            return
        finished = [
            key for key, segment in self.segments.items() if segment.finished()
        ]
        for key in finished[:excess]:
            self.drop_row(key)
