"""Answers to clients and operators."""

import dataclasses
from typing import Any

import msgspec

from guavaroad.domain import codes, jobs, names


class TaskBody(msgspec.Struct, frozen=True, kw_only=True):
    """Final state of one task, as sent to the client."""

    index: int
    state: jobs.TaskState
    ran: codes.Ran
    detail: str = ''


class AnswerBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of every answer.

    Attributes:
        code: Number of the result code.
        name: Name of the code.
        ran: Whether any task may have started.
        submission_id: Submission the answer is about.
        next_submission_id: Fresh id for the client's next submission.
        detail: Reason in one sentence.
        answers: Answers of the tasks, in order.
        tasks: Final state of each task of a failed job.
        retry_after_s: Seconds to wait before the next attempt.
        extra: Further content of a page.
    """

    code: int
    name: str
    ran: codes.Ran
    submission_id: str = ''
    next_submission_id: str = ''
    detail: str = ''
    answers: tuple[msgspec.Raw, ...] | None = None
    tasks: tuple[TaskBody, ...] = ()
    retry_after_s: float = 0
    extra: Any = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An answer with its HTTP status.

    Attributes:
        status: HTTP status.
        body: Encoded `AnswerBody`.
        retry_after_s: Seconds for the Retry-After header; 0 for none.
        code: Result code; 0 for a page or a relayed answer of a peer.
    """

    status: int
    body: bytes
    retry_after_s: float = 0
    code: int = 0


def plain(
    code: codes.ResultCode,
    *,
    detail: str = '',
    submission_id: str = '',
    next_submission_id: str = '',
    extra: Any = None,
) -> Answer:
    """Return an answer without task answers.

    Args:
        code: Result code.
        detail: Reason in one sentence.
        submission_id: Submission that the answer is about.
        next_submission_id: Fresh id for the client.
        extra: Encodable content of a page.

    Returns:
        The answer.
    """
    code_info = codes.info_of(code)
    return encode(
        AnswerBody(
            code=code.value,
            name=code.name,
            ran=code_info.ran,
            submission_id=submission_id,
            next_submission_id=next_submission_id,
            detail=detail or code_info.meaning,
            extra=extra,
        )
    )


def of_outcome(
    outcome: jobs.JobOutcome,
    *,
    submission_id: names.SubmissionId,
    next_submission_id: names.SubmissionId,
) -> Answer:
    """Return the answer of an ended job.

    Args:
        outcome: How it ended.
        submission_id: Its id.
        next_submission_id: Fresh id for the client.

    Returns:
        The answer.
    """
    match outcome:
        case jobs.JobCompleted():
            return encode(
                AnswerBody(
                    code=codes.ResultCode.COMPLETE.value,
                    name=codes.ResultCode.COMPLETE.name,
                    ran=codes.Ran.YES,
                    submission_id=submission_id,
                    next_submission_id=next_submission_id,
                    answers=outcome.answers,
                )
            )
        case jobs.JobNotCompleted():
            return encode(
                AnswerBody(
                    code=outcome.code.value,
                    name=outcome.code.name,
                    ran=codes.info_of(outcome.code).ran,
                    submission_id=submission_id,
                    next_submission_id=next_submission_id,
                    detail=outcome.detail,
                    tasks=tuple(map(to_task_body, outcome.tasks)),
                    retry_after_s=outcome.retry_after_s,
                )
            )


def to_task_body(report: jobs.TaskReport) -> TaskBody:
    """Return the wire form of a task report."""
    return TaskBody(
        index=report.index,
        state=report.state,
        ran=report.ran,
        detail=report.detail,
    )


def encode(body: AnswerBody) -> Answer:
    """Encode a body with the status of its code."""
    code = codes.ResultCode(body.code)
    return Answer(
        status=codes.info_of(code).http_status,
        body=msgspec.json.encode(body),
        retry_after_s=body.retry_after_s,
        code=body.code,
    )
