"""Lookup of a submission in the rows that may contain its record."""

import dataclasses

from guavaroad.domain.submissions import messages, records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoRecord:
    """The table has no record of the id."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedRecord:
    """The submission ended, and its outcome is recorded.

    Attributes:
        record: The record.
    """

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRecord:
    """No task has started; the owner or a successor will run it.

    Attributes:
        row: Row that a successor has to take over.
        record: The record.
    """

    row: messages.FoundRow
    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartedRecord:
    """The owner may have started it, and no other instance ever will.

    Attributes:
        record: The record.
    """

    record: records.Record


Finding = NoRecord | EndedRecord | QueuedRecord | StartedRecord


def find_record(
    rows: tuple[messages.FoundRow, ...], submission_id: str
) -> Finding:
    """Return the most advanced record of a submission.

    An owner that lost a row writes the end of a started submission to
    another row, so an end in any row takes precedence over a start.

    Args:
        rows: All rows that may contain the id.
        submission_id: The id.

    Returns:
        The finding.
    """
    finding: Finding = NoRecord()
    for row in rows:
        record = row.segment.find(submission_id)
        if record is not None:
            finding = _more_advanced(finding, _classify(row, record))
    return finding


def _classify(row: messages.FoundRow, record: records.Record) -> Finding:
    match record.state:
        case records.RecordState.QUEUED:
            return QueuedRecord(row=row, record=record)
        case records.RecordState.STARTED:
            return StartedRecord(record=record)
    return EndedRecord(record=record)


def _more_advanced(first: Finding, second: Finding) -> Finding:
    match (first, second):
        case (EndedRecord(), _):
            return first
        case (StartedRecord(), QueuedRecord()):
            return first
    return second
