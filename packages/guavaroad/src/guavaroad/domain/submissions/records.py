"""Records of submissions and the segments that hold them in the table."""

import enum
from typing import Final

import msgspec

from guavaroad.domain import codes, identity, jobs, names

IDS_PER_BUCKET: Final = 64
_OWNER_FIELDS: Final = 3
_SEPARATOR: Final = '~'


class RecordState(enum.Enum):
    """What the table says of a submission."""

    QUEUED = 'queued'
    STARTED = 'started'
    DONE = 'done'


class OutcomeBody(msgspec.Struct, frozen=True, kw_only=True):
    """Encoded outcome of a submission.

    Attributes:
        code: Number of the result code.
        detail: Reason in one sentence.
        answers: Answers of a complete job, in order.
        tasks: Index, state and detail of each task of a failed job.
        retry_after_s: Hint for the client.
    """

    code: int
    detail: str = ''
    answers: tuple[bytes, ...] = ()
    tasks: tuple[tuple[int, str, str], ...] = ()
    retry_after_s: float = 0


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One submission in the table.

    Attributes:
        submission_id: Its id.
        state: How far it is.
        owner: Incarnation that may start it, as `owner_text` writes it.
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


def owner_text(owner: identity.Incarnation) -> str:
    """Write an incarnation in one word."""
    return _SEPARATOR.join(
        (owner.availability_zone, owner.address, owner.epoch)
    )


def parse_owner(text: str) -> identity.Incarnation:
    """Read an incarnation that `owner_text` wrote."""
    zone, address, epoch = text.split(_SEPARATOR, _OWNER_FIELDS - 1)
    return identity.Incarnation(
        availability_zone=names.AvailabilityZone(zone),
        address=names.ClientAddress(address),
        epoch=names.Epoch(epoch),
    )


def bucket_prefix(parsed: identity.ParsedId) -> str:
    """Return the key prefix of the rows that may hold an id."""
    bucket = parsed.sequence // IDS_PER_BUCKET
    return f'segments/{owner_text(parsed.owner)}/{bucket}.'


def pack_outcome(outcome: jobs.JobOutcome) -> bytes:
    """Encode an outcome for its record."""
    match outcome:
        case jobs.JobCompleted():
            packed = OutcomeBody(
                code=codes.ResultCode.COMPLETE.value,
                answers=tuple(map(bytes, outcome.answers)),
            )
        case jobs.JobEnded():
            packed = OutcomeBody(
                code=outcome.code.value,
                detail=outcome.detail,
                tasks=tuple(
                    (task.index, task.state.value, task.detail)
                    for task in outcome.tasks
                ),
                retry_after_s=outcome.retry_after_s,
            )
    return msgspec.msgpack.encode(packed)


def unpack_outcome(packed: bytes) -> jobs.JobOutcome:
    """Decode an outcome from its record."""
    body = msgspec.msgpack.decode(packed, type=OutcomeBody)
    if body.code == codes.ResultCode.COMPLETE.value:
        return jobs.JobCompleted(answers=tuple(map(msgspec.Raw, body.answers)))
    return jobs.JobEnded(
        code=codes.ResultCode(body.code),
        detail=body.detail,
        tasks=tuple(map(_report, body.tasks)),
        retry_after_s=body.retry_after_s,
    )


def _report(packed: tuple[int, str, str]) -> jobs.TaskReport:
    index, state_text, detail = packed
    state = jobs.TaskState(state_text)
    return jobs.TaskReport(
        index=names.TaskIndex(index),
        state=state,
        ran=jobs.ran_of(state),
        detail=detail,
    )
