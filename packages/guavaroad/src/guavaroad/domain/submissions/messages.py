"""Messages between the writer of records, the table and the owner."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.submissions import records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowChange:
    """A row to write if its version matches.

    Attributes:
        key: Key of the row.
        expected_version: Version that the row must have; 0 for no row.
        segment: New value.
    """

    key: str
    expected_version: int
    segment: records.Segment


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Rows to write atomically.

    Attributes:
        operation_id: Id of the transaction; a resend carries the same one.
        changes: The rows.
    """

    operation_id: str
    changes: tuple[RowChange, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FoundRow:
    """A row as read from the table.

    Attributes:
        key: Key of the row.
        version: Its version; 0 if there is no row.
        segment: Its value.
    """

    key: str
    version: int
    segment: records.Segment


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteCommitted:
    """The transaction was committed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteConflict:
    """A version did not match; this send wrote nothing.

    Attributes:
        rows: The rows that did not match.
    """

    rows: tuple[FoundRow, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteUnknown:
    """No answer arrived; the transaction may be committed, even later."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteUnsent:
    """This time the transaction is proven not to have been sent."""


WriteResult = WriteCommitted | WriteConflict | WriteUnknown | WriteUnsent


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The `queued` record is confirmed as written."""

    submission_id: names.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claimed:
    """The claim is confirmed as written, so the tasks may start."""

    submission_id: names.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """The end is confirmed as written."""

    submission_id: names.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Moved:
    """Another instance owns the submission.

    Attributes:
        submission_id: Its id.
        record: The record in the table.
    """

    submission_id: names.SubmissionId
    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotRecorded:
    """A required record is proven not to have been sent."""

    submission_id: names.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adopted:
    """This instance now owns a queued submission of a lost owner.

    Attributes:
        record: The record as adopted.
    """

    record: records.Record


Event = Queued | Claimed | Ended | Moved | NotRecorded | Adopted
