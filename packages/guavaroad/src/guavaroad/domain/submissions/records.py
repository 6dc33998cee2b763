"""Records of submissions and the segments that hold them in the table."""

import enum
from typing import Final

import msgspec

from guavaroad.domain import identity, names

IDS_PER_BUCKET: Final = 64
_OWNER_FIELDS: Final = 3
_SEPARATOR: Final = '~'


class RecordState(enum.Enum):
    """What the table says of a submission."""

    QUEUED = 'queued'
    STARTED = 'started'
    DONE = 'done'


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One submission in the table.

    Attributes:
        submission_id: Its id.
        state: How far it is.
        owner: Incarnation that may start it, as `format_owner` writes it.
        digest: Hash of the request.
        job: Job name, for a successor.
        body: Request body, for a successor.
        deadline_wall_s: Wall-clock deadline, for a successor.
        outcome: How it ended, encoded; empty before the end.
        object_key: Object that holds the outcome where it is large.
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
        """Return about how many bytes it takes in a row."""
        texts = (self.submission_id, self.owner, self.body, self.outcome)
        return sum(map(len, texts))


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """Body of one row.

    Attributes:
        holder: Incarnation that may write the row.
        operation_id: Write that made the row what it is.
        records: Submissions by id.
    """

    holder: str
    operation_id: str
    records: tuple[Record, ...] = ()

    def find(self, submission_id: str) -> Record | None:
        """Return the record of a submission, if it is here."""
        for record in self.records:
            if record.submission_id == submission_id:
                return record
        return None


def encode(segment: Segment) -> bytes:
    """Encode the body of a row."""
    return msgspec.msgpack.encode(segment)


def decode(body: bytes) -> Segment:
    """Decode the body of a row; an empty one has no holder."""
    if not body:
        return Segment(holder='', operation_id='')
    return msgspec.msgpack.decode(body, type=Segment)


def format_owner(owner: identity.Incarnation) -> str:
    """Write an incarnation in one word."""
    return _SEPARATOR.join(
        (owner.availability_zone, owner.address, owner.epoch)
    )


def parse_owner(text: str) -> identity.Incarnation:
    """Read an incarnation that `format_owner` wrote."""
    zone, address, epoch = text.split(_SEPARATOR, _OWNER_FIELDS - 1)
    return identity.Incarnation(
        availability_zone=names.AvailabilityZone(zone),
        address=names.ClientAddress(address),
        epoch=names.Epoch(epoch),
    )


def bucket_of(parsed: identity.ParsedId) -> str:
    """Return the number of the bucket that an id falls in."""
    return str(parsed.sequence // IDS_PER_BUCKET)


def rows_prefix(owner: str, bucket: str) -> str:
    """Return the key prefix of the rows of one bucket of an owner."""
    return f'segments/{owner}/{bucket}.'


def bucket_prefix(parsed: identity.ParsedId) -> str:
    """Return the key prefix of the rows that may hold an id."""
    return rows_prefix(format_owner(parsed.owner), bucket_of(parsed))


def with_object_key(record: Record, key: str) -> Record:
    """Return the record with its outcome left to an object."""
    return msgspec.structs.replace(record, outcome=b'', object_key=key)


def with_request(
    record: Record, *, body: bytes, deadline_wall_s: float
) -> Record:
    """Return the record with what a successor needs to run it."""
    return msgspec.structs.replace(
        record, body=body, deadline_wall_s=deadline_wall_s
    )


def with_outcome(record: Record, outcome: bytes) -> Record:
    """Return the record with its encoded outcome."""
    return msgspec.structs.replace(record, outcome=outcome)
