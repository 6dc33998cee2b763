"""Takes submissions: mints ids, runs owned ones, forwards the others."""

import dataclasses
from collections.abc import Callable
from typing import Final

import msgspec
import xxhash
from twisted.internet import defer

from guavaroad.domain import codes, identity, jobs, json_input, names
from guavaroad.domain.configuration import document
from guavaroad.domain.submissions import submission
from guavaroad.ports import timers
from guavaroad.services import answers, dispatch, forwarding, outcomes

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
    """A submission as it came in.

    Attributes:
        team: Team of the token.
        job: Job name of the path.
        key: Value of Idempotency-Key, empty if there was none.
        body: Request body.
        authorization: Value to send on when the request is forwarded.
        forwarded: Whether a peer sent it.
    """

    team: names.TeamName
    job: names.JobName
    key: str
    body: bytes
    authorization: str
    forwarded: bool


Pending = defer.Deferred[answers.Answer]
ConfigRefusal = Callable[[names.JobName], codes.ResultCode | None]


class Minter:
    """Mints the submission ids of one incarnation."""

    def __init__(
        self,
        *,
        incarnation: identity.Incarnation,
        timer_service: timers.TimerService,
    ) -> None:
        self.incarnation = incarnation
        self.timers = timer_service
        self.last_sequence = 0

    def mint(self, team: names.TeamName) -> names.SubmissionId:
        """Return a fresh id for a team."""
        self.last_sequence += 1
        return identity.format_id(
            identity.ParsedId(
                owner=self.incarnation,
                sequence=self.last_sequence,
                minted_s=int(self.timers.wall()),
                team=team,
            )
        )


class SubmissionService:
    """Owner of the submissions that carry this incarnation's ids."""

    def __init__(
        self,
        *,
        minter: Minter,
        dispatcher: dispatch.Dispatcher,
        forwarder: forwarding.Forwarder,
        book: outcomes.OutcomeBook,
        configuration: Callable[[], document.Document | None],
        default_deadline_s: float,
    ) -> None:
        self.minter = minter
        self.dispatcher = dispatcher
        self.forwarder = forwarder
        self.book = book
        self.configuration = configuration
        self.config_refusal: ConfigRefusal = no_refusal
        self.default_deadline_s = default_deadline_s
        self.draining = False

    def refuse_new(self) -> None:
        """Take no new submission; known ones go on."""
        self.draining = True

    def mint_block(self, team: names.TeamName, count: int) -> answers.Answer:
        """Answer a request for fresh ids."""
        minted = [self.minter.mint(team) for _ in range(count)]
        return answers.plain(
            codes.ResultCode.IDS_MINTED, extra={'submission_ids': minted}
        )

    def submit(self, request: SubmitRequest) -> Pending:
        """Take a submission, or forward it to its owner.

        Args:
            request: The submission.

        Returns:
            Fires with the answer when the job has ended.
        """
        if not request.key:
            return self.take(self.minter.mint(request.team), request)
        parsed = identity.parse_id(request.key)
        match parsed:
            case identity.BadId():
                return self.refuse(
                    codes.ResultCode.BAD_SUBMISSION_ID, parsed.reason
                )
        if parsed.team != request.team:
            return self.refuse(
                codes.ResultCode.FORBIDDEN, 'the id is of another team'
            )
        submission_id = names.SubmissionId(request.key)
        if parsed.owner == self.minter.incarnation:
            return self.take(submission_id, request)
        return self.forward(parsed, request)

    def forward(
        self, parsed: identity.ParsedId, request: SubmitRequest
    ) -> Pending:
        """Send the request on to the owner named in its id."""
        if request.forwarded:
            return defer.succeed(
                answers.plain(
                    codes.ResultCode.OWNER_GONE, submission_id=request.key
                )
            )
        return self.forwarder.submit(
            parsed.owner,
            forwarding.ForwardedRequest(
                submission_id=names.SubmissionId(request.key),
                job=request.job,
                body=request.body,
                authorization=request.authorization,
            ),
        )

    def take(
        self, submission_id: names.SubmissionId, request: SubmitRequest
    ) -> Pending:
        """Run a submission of this owner, or join the run of its id."""
        digest = xxhash.xxh3_128_hexdigest(request.job.encode() + request.body)
        known = self.book.find(submission_id)
        if known is not None:
            if known.digest != digest:
                return self.refuse(
                    codes.ResultCode.ID_REUSED, submission_id=submission_id
                )
            return self.join(submission_id, known)
        if self.draining:
            return self.refuse(
                codes.ResultCode.DRAINING, submission_id=submission_id
            )
        checked = self.check(submission_id, request, digest)
        match checked:
            case jobs.JobEnded():
                return self.refuse(
                    checked.code, checked.detail, submission_id=submission_id
                )
            case jobs.JobRequest():
                entry = self.book.open(submission_id, digest)
                pending = self.join(submission_id, entry)
                self.dispatcher.enqueue(
                    submission.Submission(request=checked), self.settle
                )
                return pending

    def check(
        self,
        submission_id: names.SubmissionId,
        request: SubmitRequest,
        digest: str,
    ) -> jobs.JobRequest | jobs.JobEnded:
        """Check a request against the configuration and the limits."""
        config = self.configuration()
        uncertain = self.config_refusal(request.job)
        if config is None or uncertain is not None:
            return jobs.JobEnded(
                code=uncertain or codes.ResultCode.NO_CONFIGURATION
            )
        job = config.job_named(request.job)
        if job is None:
            return jobs.JobEnded(code=codes.ResultCode.UNKNOWN_JOB)
        if request.team not in job.teams:
            return jobs.JobEnded(code=codes.ResultCode.FORBIDDEN)
        body = decode_body(request.body)
        match body:
            case jobs.JobEnded():
                return body
        refusal = self.refusal(len(body.tasks), job.max_tasks)
        if refusal is not None:
            return jobs.JobEnded(code=refusal)
        checked = self.job_request(submission_id, request, body, job, digest)
        return self.dispatcher.refuse(checked) or checked

    def refusal(
        self, task_count: int, max_tasks: int
    ) -> codes.ResultCode | None:
        """Return why a job of that size can't be taken, if it can't."""
        if task_count > max_tasks:
            return codes.ResultCode.TOO_MANY_TASKS
        return self.dispatcher.refusal(task_count)

    def job_request(
        self,
        submission_id: names.SubmissionId,
        request: SubmitRequest,
        body: SubmitBody,
        job: document.Job,
        digest: str,
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
            digest=digest,
        )

    def settle(self, job: submission.Submission) -> None:
        """Keep the outcome and answer everyone who waits for it."""
        self.book.close(job.request.submission_id, job.outcome())

    def join(
        self, submission_id: names.SubmissionId, entry: outcomes.Entry
    ) -> Pending:
        """Wait for the outcome of an entry."""
        parsed = identity.parse_id(submission_id)
        team = names.TeamName('')
        match parsed:
            case identity.ParsedId():
                team = parsed.team
        pending = entry.wait()
        return pending.addCallback(
            lambda outcome: answers.of_outcome(
                outcome,
                submission_id=submission_id,
                next_submission_id=self.minter.mint(team),
            )
        )

    def refuse(
        self,
        code: codes.ResultCode,
        detail: str = '',
        *,
        submission_id: str = '',
    ) -> Pending:
        """Answer at once that nothing was run."""
        return defer.succeed(
            answers.plain(code, detail=detail, submission_id=submission_id)
        )


def no_refusal(_: names.JobName) -> None:
    """Refuse no job for an uncertain configuration."""


def decode_body(body: bytes) -> SubmitBody | jobs.JobEnded:
    """Decode the body of a submission.

    Args:
        body: Request body.

    Returns:
        The body, or the refusal that says what is wrong with it.
    """
    decoded = json_input.decode(body, SubmitBody)
    match decoded:
        case json_input.Malformed():
            return jobs.JobEnded(
                code=codes.ResultCode.BAD_REQUEST, detail=decoded.reason
            )
    if not decoded.tasks:
        return jobs.JobEnded(
            code=codes.ResultCode.BAD_REQUEST, detail='tasks is empty'
        )
    if not 0 <= decoded.deadline_ms <= MAX_DEADLINE_MS:
        return jobs.JobEnded(
            code=codes.ResultCode.BAD_REQUEST,
            detail=f'deadline_ms must be from 0 to {MAX_DEADLINE_MS}',
        )
    return decoded
