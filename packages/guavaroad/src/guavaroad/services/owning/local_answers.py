"""Answers for the submissions in the outcome cache of this instance."""

import collections
from typing import Any

import msgspec
from twisted.internet import defer

from guavaroad.domain import codes, identity, jobs, names
from guavaroad.services import (
    answers,
    forwarding,
    outcomes,
    requests,
)
from guavaroad.services.owning import (
    minting,
    ownership,
)


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a submission.

    Attributes:
        state: State of the submission.
        tasks: Number of tasks by state.
    """

    state: str
    tasks: dict[str, int]


Pending = defer.Deferred[answers.Answer]


class LocalAnswers:
    """Shows, joins and cancels submissions in the outcome cache."""

    def __init__(
        self, *, minter: minting.Minter, owner: ownership.SubmissionOwner
    ) -> None:
        self.minter = minter
        self.owner = owner

    def answer_locally(
        self, parsed: identity.ParsedId, call: forwarding.ForwardedRequest
    ) -> Pending | None:
        """Answer from the cache; none if another instance must answer."""
        entry = self.owner.outcome_cache.find(call.submission_id)
        if entry is None:
            return self.answer_unknown_id(parsed, call)
        if entry.moved is not None:
            return None
        match call.method:
            case forwarding.Method.SUBMIT:
                return self.join(parsed, entry)
            case forwarding.Method.CANCEL:
                if entry.job is not None:
                    self.owner.cancel(entry.job)
        if entry.outcome is not None:
            return self.join(parsed, entry)
        return defer.succeed(progress(call, entry))

    def answer_unknown_id(
        self, parsed: identity.ParsedId, call: forwarding.ForwardedRequest
    ) -> Pending | None:
        """Answer for an id of this incarnation that is not in the cache."""
        if parsed.owner != self.minter.incarnation:
            return None
        refusal = self.minter.refusal(parsed, self.owner.outcome_cache.horizon)
        if refusal is codes.ResultCode.BAD_SUBMISSION_ID:
            return refuse(refusal, submission_id=call.submission_id)
        if refusal is not None:
            return None
        if call.method is forwarding.Method.CANCEL:
            ending = jobs.JobNotCompleted(code=codes.ResultCode.CANCELLED)
            entry = self.owner.refuse(
                parsed, placeholder_request(parsed), ending
            )
            entry.digest = ''
            return self.join(parsed, entry)
        return defer.succeed(
            answers.plain(
                codes.ResultCode.PENDING,
                submission_id=call.submission_id,
                extra={'state': 'not received'},
            )
        )

    def join_checked(
        self,
        parsed: identity.ParsedId,
        entry: outcomes.Entry,
        request: requests.SubmitRequest,
    ) -> Pending:
        """Wait for a known submission if the request is the same."""
        cancelled_first = not entry.digest
        if entry.digest != request.digest() and not cancelled_first:
            return refuse(codes.ResultCode.ID_REUSED, submission_id=request.key)
        if entry.request is not None and not entry.request.authorization:
            entry.request = request
        if request.respond_async and entry.outcome is None:
            return defer.succeed(
                progress(to_forwarded_request(parsed, request), entry)
            )
        return self.join(parsed, entry)

    def join(self, parsed: identity.ParsedId, entry: outcomes.Entry) -> Pending:
        """Wait for the outcome of an entry."""
        pending: Any = entry.wait()
        return pending.addCallback(  # type: ignore[no-any-return]
            self.to_answer, parsed
        )

    def to_answer(
        self, result: outcomes.Result, parsed: identity.ParsedId
    ) -> answers.Answer:
        """Convert the result of a wait to an answer."""
        match result:
            case answers.Answer():
                return result
        return answers.of_outcome(
            result,
            submission_id=identity.format_id(parsed),
            next_submission_id=self.minter.mint(parsed.team),
        )

    def answer_when_recorded(
        self, parsed: identity.ParsedId, entry: outcomes.Entry
    ) -> Pending:
        """Answer once the record is written or the job has ended."""
        pending: Any = entry.wait_recorded()
        return pending.addCallback(  # type: ignore[no-any-return]
            lambda recorded: (
                self.accepted_answer(parsed)
                if recorded
                else self.join(parsed, entry)
            )
        )

    def accepted_answer(self, parsed: identity.ParsedId) -> answers.Answer:
        """Return the answer of a recorded submission."""
        return answers.plain(
            codes.ResultCode.ACCEPTED,
            submission_id=identity.format_id(parsed),
            next_submission_id=self.minter.mint(parsed.team),
        )


def to_forwarded_request(
    parsed: identity.ParsedId, request: requests.SubmitRequest
) -> forwarding.ForwardedRequest:
    """Convert a submission to a forwarded request."""
    return forwarding.ForwardedRequest(
        method=forwarding.Method.SUBMIT,
        submission_id=identity.format_id(parsed),
        authorization=request.authorization,
        job=request.job,
        body=request.body,
        digest=request.digest(),
    )


def placeholder_request(parsed: identity.ParsedId) -> requests.SubmitRequest:
    """Return a placeholder for a request that was not received."""
    return requests.SubmitRequest(
        team=parsed.team,
        job=names.JobName(''),
        key=identity.format_id(parsed),
        body=b'',
        authorization='',
        forwarded=False,
    )


def progress(
    call: forwarding.ForwardedRequest, entry: outcomes.Entry
) -> answers.Answer:
    """Answer for a submission that has not ended."""
    cancelled = call.method is forwarding.Method.CANCEL
    tasks = entry.job.tasks if entry.job else ()
    counts = collections.Counter(task.state.value for task in tasks)
    return answers.plain(
        codes.ResultCode.CANCEL_TAKEN
        if cancelled
        else codes.ResultCode.PENDING,
        submission_id=call.submission_id,
        extra=Progress(state=state_of(entry), tasks=counts),
    )


def state_of(entry: outcomes.Entry) -> str:
    """Return the state of an open submission."""
    if entry.ending is not None:
        return 'ending'
    held = entry.job is not None and entry.job.held
    return 'held' if held else 'open'


def refuse(
    code: codes.ResultCode, detail: str = '', *, submission_id: str = ''
) -> Pending:
    """Answer with a refusal at once."""
    return defer.succeed(
        answers.plain(code, detail=detail, submission_id=submission_id)
    )
