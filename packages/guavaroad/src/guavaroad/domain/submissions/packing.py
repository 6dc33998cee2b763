"""Encoding of outcomes for their records."""

import msgspec

from guavaroad.domain import codes, jobs, names


class OutcomeBody(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of the outcome of a submission.

    Attributes:
        code: Number of the result code.
        detail: Reason in one sentence.
        answers: Answers of a completed job, in the order of its tasks.
        tasks: Index, state and detail of each task of a failed job.
        retry_after_s: Retry hint for the client, in seconds.
    """

    code: int
    detail: str = ''
    answers: tuple[bytes, ...] = ()
    tasks: tuple[tuple[int, str, str], ...] = ()
    retry_after_s: float = 0


def pack_outcome(outcome: jobs.JobOutcome) -> bytes:
    """Encode an outcome for its record."""
    match outcome:
        case jobs.JobCompleted():
            packed = OutcomeBody(
                code=codes.ResultCode.COMPLETE.value,
                answers=tuple(map(bytes, outcome.answers)),
            )
        case jobs.JobNotCompleted():
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
    """Decode the outcome of a record."""
    body = msgspec.msgpack.decode(packed, type=OutcomeBody)
    if body.code == codes.ResultCode.COMPLETE.value:
        return jobs.JobCompleted(answers=tuple(map(msgspec.Raw, body.answers)))
    return jobs.JobNotCompleted(
        code=codes.ResultCode(body.code),
        detail=body.detail,
        tasks=tuple(map(_task_report, body.tasks)),
        retry_after_s=body.retry_after_s,
    )


def _task_report(packed: tuple[int, str, str]) -> jobs.TaskReport:
    index, state_text, detail = packed
    state = jobs.TaskState(state_text)
    return jobs.TaskReport(
        index=names.TaskIndex(index),
        state=state,
        ran=jobs.ran_in_state(state),
        detail=detail,
    )
