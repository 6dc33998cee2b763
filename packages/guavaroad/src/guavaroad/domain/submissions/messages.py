"""Messages between the writer of records, the table and the owner."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.submissions import records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowChange:
    """One row to write if its version matches.

    Attributes:
        key: Key of the row.
        expected_version: Version that must be there; 0 for no row.
        segment: New value.
    """

    key: str
    expected_version: int
    segment: records.Segment


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Rows to write together; a resend carries the same operation id."""

    operation_id: str
    changes: tuple[RowChange, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FoundRow:
    """A row as it is in the table.

    Attributes:
        key: Key of the row.
        version: Its version; 0 if there is none.
        segment: Its value.
    """

    key: str
    version: int
    segment: records.Segment


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteCommitted:
    """The transaction took effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteConflict:
    """A version did not match; this send wrote nothing.

    Attributes:
        rows: The rows that did not match.
    """

    rows: tuple[FoundRow, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteUnknown:
    """No answer came; the transaction may take effect, also later."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteUnsent:
    """The transaction was provably not sent this time."""


WriteResult = WriteCommitted | WriteConflict | WriteUnknown | WriteUnsent


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The `queued` record is known to be written."""

    submission_id: names.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claimed:
    """The claim is known to be written: its tasks may start."""

    submission_id: names.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """The end is known to be written."""

    submission_id: names.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Moved:
    """Another instance owns the submission.

    Attributes:
        submission_id: Its id.
        record: The record as the table has it.
    """

    submission_id: names.SubmissionId
    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotRecorded:
    """A record that had to be written was provably not sent."""

    submission_id: names.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adopted:
    """A queued submission of a lost owner is this instance's now."""

    record: records.Record


Event = Queued | Claimed | Ended | Moved | NotRecorded | Adopted
