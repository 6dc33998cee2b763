"""What the rows of an id say about it, for any instance that asks."""

import dataclasses

from guavaroad.domain.submissions import messages, records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoRecord:
    """The table has nothing about the id."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedRecord:
    """The submission ended; its outcome is kept."""

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRecord:
    """Nothing of it started; its owner, or a successor, will run it.

    Attributes:
        row: Row that a successor takes over.
        record: The record.
    """

    row: messages.FoundRow
    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartedRecord:
    """Its owner may have started it; nobody else ever will."""

    record: records.Record


Finding = NoRecord | EndedRecord | QueuedRecord | StartedRecord


def find_record(
    rows: tuple[messages.FoundRow, ...], submission_id: str
) -> Finding:
    """Read what the rows of an id say about it.

    An owner that lost a row writes the end of what it started in another
    one, so an end in any row goes before a start.

    Args:
        rows: Every row that may hold the id.
        submission_id: The id.

    Returns:
        The most advanced record.
    """
    finding: Finding = NoRecord()
    for row in rows:
        record = row.segment.find(submission_id)
        if record is not None:
            finding = _further(finding, _read(row, record))
    return finding


def _read(row: messages.FoundRow, record: records.Record) -> Finding:
    match record.state:
        case records.RecordState.QUEUED:
            return QueuedRecord(row=row, record=record)
        case records.RecordState.STARTED:
            return StartedRecord(record=record)
    return EndedRecord(record=record)


def _further(first: Finding, second: Finding) -> Finding:
    match (first, second):
        case (EndedRecord(), _):
            return first
        case (StartedRecord(), QueuedRecord()):
            return first
    return second
