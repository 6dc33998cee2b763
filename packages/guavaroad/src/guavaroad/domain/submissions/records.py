"""Records of submissions, and the segments that contain them."""

import enum
from typing import Final

import msgspec

from guavaroad.domain import identity, names

IDS_PER_BUCKET: Final = 64
_OWNER_FIELDS: Final = 3
_SEPARATOR: Final = '~'


class RecordState(enum.Enum):
    """Recorded state of a submission."""

    QUEUED = 'queued'
    STARTED = 'started'
    DONE = 'done'


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Record of one submission.

    Attributes:
        submission_id: Its id.
        state: Its state.
        owner: Incarnation that may start it, as `format_owner` writes it.
        digest: Hash of the request.
        job: Job name, for a successor.
        body: Request body, for a successor.
        deadline_wall_s: Wall-clock deadline in seconds, for a successor.
        outcome: Encoded outcome; empty before the end.
        object_key: Key of the object that stores a large outcome.
    """

    submission_id: names.SubmissionId
    state: RecordState
    owner: str
    digest: str = ''
    job: str = ''
    body: bytes = b''
    deadline_wall_s: float = 0
    outcome: bytes = b''
    object_key: str = ''

    def size(self) -> int:
        """Return the approximate size in a row, in bytes."""
        texts = (self.submission_id, self.owner, self.body, self.outcome)
        return sum(map(len, texts))


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """Value of one row.

    Attributes:
        holder: Incarnation that may write the row.
        operation_id: Id of the transaction that wrote this value.
        records: Records of submissions.
    """

    holder: str
    operation_id: str
    records: tuple[Record, ...] = ()

    def find(self, submission_id: str) -> Record | None:
        """Return the record of a submission, if it is in this segment."""
        for record in self.records:
            if record.submission_id == submission_id:
                return record
        return None


def encode(segment: Segment) -> bytes:
    """Encode the value of a row."""
    return msgspec.msgpack.encode(segment)


def decode(body: bytes) -> Segment:
    """Decode the value of a row; an empty value has no holder."""
    if not body:
        return Segment(holder='', operation_id='')
    return msgspec.msgpack.decode(body, type=Segment)


def format_owner(owner: identity.Incarnation) -> str:
    """Format an incarnation as text without spaces."""
    return _SEPARATOR.join(
        (owner.availability_zone, owner.address, owner.epoch)
    )


def parse_owner(text: str) -> identity.Incarnation:
    """Parse an incarnation that `format_owner` wrote."""
    zone, address, epoch = text.split(_SEPARATOR, _OWNER_FIELDS - 1)
    return identity.Incarnation(
        availability_zone=names.AvailabilityZone(zone),
        address=names.ClientAddress(address),
        epoch=names.Epoch(epoch),
    )


def bucket_of(parsed: identity.ParsedId) -> str:
    """Return the number of the bucket of an id."""
    return str(parsed.sequence // IDS_PER_BUCKET)


def rows_prefix(owner: str, bucket: str) -> str:
    """Return the key prefix of the rows of one bucket of an owner."""
    return f'segments/{owner}/{bucket}.'


def bucket_prefix(parsed: identity.ParsedId) -> str:
    """Return the key prefix of the rows that may contain an id."""
    return rows_prefix(format_owner(parsed.owner), bucket_of(parsed))


def with_object_key(record: Record, key: str) -> Record:
    """Return the record with its outcome replaced by an object key."""
    return msgspec.structs.replace(record, outcome=b'', object_key=key)


def with_request(
    record: Record, *, body: bytes, deadline_wall_s: float
) -> Record:
    """Return the record with the data that a successor needs to run it.

    Args:
        record: The record.
        body: Request body.
        deadline_wall_s: Wall-clock deadline in seconds.

    Returns:
        The new record.
    """
    return msgspec.structs.replace(
        record, body=body, deadline_wall_s=deadline_wall_s
    )


def with_outcome(record: Record, outcome: bytes) -> Record:
    """Return the record with an encoded outcome."""
    return msgspec.structs.replace(record, outcome=outcome)
