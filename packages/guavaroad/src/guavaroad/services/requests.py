"""Submission requests, and their check against the configuration."""

import dataclasses
from collections.abc import Callable
from typing import Final

import msgspec
import xxhash

from guavaroad.domain import codes, jobs, json_input, names
from guavaroad.domain.configuration import document
from guavaroad.services import (
    dispatch,
)

_MS: Final = 1000
MAX_DEADLINE_MS: Final = 86_400_000


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a request body."""

    payload: msgspec.Raw
    declared_ms: int = 0


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a submission request."""

    tasks: list[TaskBody]
    deadline_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitRequest:
    """A submission as it was received.

    Attributes:
        team: Team of the token.
        job: Job name of the path.
        key: Value of Idempotency-Key, empty if there was none.
        body: Request body.
        authorization: Authorization header to send when it is forwarded.
        forwarded: Whether a peer sent it.
        respond_async: Whether the client fetches the answer later.
    """

    team: names.TeamName
    job: names.JobName
    key: str
    body: bytes
    authorization: str
    forwarded: bool
    respond_async: bool = False

    def digest(self) -> str:
        """Return a hash that distinguishes a repeat from a reuse of the id."""
        return xxhash.xxh3_128_hexdigest(self.job.encode() + self.body)


ConfigRefusal = Callable[[names.JobName], codes.ResultCode | None]


def no_refusal(_: names.JobName) -> None:
    """Return no refusal: the configuration counts as certain."""


class RequestChecker:
    """Checks submissions against the configuration and the limits."""

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        configuration: Callable[[], document.Document | None],
        default_deadline_s: float,
    ) -> None:
        self.dispatcher = dispatcher
        self.configuration = configuration
        self.config_refusal: ConfigRefusal = no_refusal
        self.default_deadline_s = default_deadline_s

    def check(
        self, submission_id: names.SubmissionId, request: SubmitRequest
    ) -> jobs.JobRequest | jobs.JobNotCompleted:
        """Check a request.

        Args:
            submission_id: Id of the submission.
            request: The request.

        Returns:
            The checked job, or its refusal.
        """
        config = self.configuration()
        config_refusal = self.config_refusal(request.job)
        if config is None or config_refusal is not None:
            return jobs.JobNotCompleted(
                code=config_refusal or codes.ResultCode.NO_CONFIGURATION
            )
        job = config.find_job(request.job)
        if job is None:
            return jobs.JobNotCompleted(code=codes.ResultCode.UNKNOWN_JOB)
        if request.team not in job.teams:
            return jobs.JobNotCompleted(code=codes.ResultCode.FORBIDDEN)
        body = decode_body(request.body)
        match body:
            case jobs.JobNotCompleted():
                return body
        refusal = self.size_refusal(len(body.tasks), job.max_tasks)
        if refusal is not None:
            return jobs.JobNotCompleted(code=refusal)
        checked = self.build_job_request(submission_id, request, body, job)
        return self.dispatcher.refuse(checked) or checked

    def size_refusal(
        self, task_count: int, max_tasks: int
    ) -> codes.ResultCode | None:
        """Return why a job of that size is refused; none if it is not."""
        if task_count > max_tasks:
            return codes.ResultCode.TOO_MANY_TASKS
        return self.dispatcher.refusal(task_count)

    def build_job_request(
        self,
        submission_id: names.SubmissionId,
        request: SubmitRequest,
        body: SubmitBody,
        job: document.Job,
    ) -> jobs.JobRequest:
        """Return the checked job."""
        allowed_s = body.deadline_ms / _MS or self.default_deadline_s
        return jobs.JobRequest(
            submission_id=submission_id,
            team=request.team,
            job=request.job,
            urgency=job.urgency,
            pool=names.PoolName(job.pool),
            tasks=tuple(
                jobs.TaskSpec(
                    payload=task.payload, declared_ms=task.declared_ms
                )
                for task in body.tasks
            ),
            deadline_s=self.dispatcher.timers.now() + allowed_s,
            digest=request.digest(),
        )


def decode_body(body: bytes) -> SubmitBody | jobs.JobNotCompleted:
    """Decode the body of a submission.

    Args:
        body: Request body.

    Returns:
        The body, or a refusal that names the fault.
    """
    decoded = json_input.decode(body, SubmitBody)
    match decoded:
        case json_input.Malformed():
            return jobs.JobNotCompleted(
                code=codes.ResultCode.BAD_REQUEST, detail=decoded.reason
            )
    if not decoded.tasks:
        return jobs.JobNotCompleted(
            code=codes.ResultCode.BAD_REQUEST, detail='tasks is empty'
        )
    if not 0 <= decoded.deadline_ms <= MAX_DEADLINE_MS:
        return jobs.JobNotCompleted(
            code=codes.ResultCode.BAD_REQUEST,
            detail=f'deadline_ms must be from 0 to {MAX_DEADLINE_MS}',
        )
    return decoded
