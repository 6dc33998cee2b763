"""Answers for the submissions in the book of this instance."""

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
    """How far a submission is.

    Attributes:
        state: Word for it.
        tasks: Tasks by state.
    """

    state: str
    tasks: dict[str, int]


Pending = defer.Deferred[answers.Answer]


class LocalAnswers:
    """Shows, joins and cancels what is in the book."""

    def __init__(
        self, *, minter: minting.Minter, owned: ownership.SubmissionOwner
    ) -> None:
        self.minter = minter
        self.owned = owned

    def local(
        self, parsed: identity.ParsedId, call: forwarding.ForwardedRequest
    ) -> Pending | None:
        """Answer from the book; none if another instance has to."""
        entry = self.owned.outcome_cache.find(call.submission_id)
        if entry is None:
            return self.unseen(parsed, call)
        if entry.moved is not None:
            return None
        match call.method:
            case forwarding.Method.SUBMIT:
                return self.join(parsed, entry)
            case forwarding.Method.CANCEL:
                if entry.job is not None:
                    self.owned.cancel(entry.job)
        if entry.outcome is not None:
            return self.join(parsed, entry)
        return defer.succeed(progress(call, entry))

    def unseen(
        self, parsed: identity.ParsedId, call: forwarding.ForwardedRequest
    ) -> Pending | None:
        """Answer for an id of this incarnation that is not in the book."""
        if parsed.owner != self.minter.incarnation:
            return None
        spent = self.minter.refusal(parsed, self.owned.outcome_cache.horizon)
        if spent is codes.ResultCode.BAD_SUBMISSION_ID:
            return refuse(spent, submission_id=call.submission_id)
        if spent is not None:
            return None
        if call.method is forwarding.Method.CANCEL:
            ending = jobs.JobEnded(code=codes.ResultCode.CANCELLED)
            entry = self.owned.refuse(parsed, no_request(parsed), ending)
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
            return defer.succeed(progress(submit_call(parsed, request), entry))
        return self.join(parsed, entry)

    def join(self, parsed: identity.ParsedId, entry: outcomes.Entry) -> Pending:
        """Wait for the outcome of an entry."""
        pending: Any = entry.wait()
        return pending.addCallback(  # type: ignore[no-any-return]
            self.answer_of, parsed
        )

    def answer_of(
        self, told: outcomes.Told, parsed: identity.ParsedId
    ) -> answers.Answer:
        """Return the answer to one who waited."""
        match told:
            case answers.Answer():
                return told
        return answers.of_outcome(
            told,
            submission_id=identity.format_id(parsed),
            next_submission_id=self.minter.mint(parsed.team),
        )

    def accepted(
        self, parsed: identity.ParsedId, entry: outcomes.Entry
    ) -> Pending:
        """Answer once the record is written, or the job ended before."""
        pending: Any = entry.wait_accepted()
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


def submit_call(
    parsed: identity.ParsedId, request: requests.SubmitRequest
) -> forwarding.ForwardedRequest:
    """Return a submission as it is forwarded."""
    return forwarding.ForwardedRequest(
        method=forwarding.Method.SUBMIT,
        submission_id=identity.format_id(parsed),
        authorization=request.authorization,
        job=request.job,
        body=request.body,
        digest=request.digest(),
    )


def no_request(parsed: identity.ParsedId) -> requests.SubmitRequest:
    """Return what stands for a request that has not come."""
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
    slots = entry.job.tasks if entry.job else ()
    counts = collections.Counter(slot.state.value for slot in slots)
    return answers.plain(
        codes.ResultCode.CANCEL_TAKEN
        if cancelled
        else codes.ResultCode.PENDING,
        submission_id=call.submission_id,
        extra=Progress(state=state_of(entry), tasks=counts),
    )


def state_of(entry: outcomes.Entry) -> str:
    """Return a word for how far a submission is."""
    if entry.ending is not None:
        return 'ending'
    held = entry.job is not None and entry.job.held
    return 'held' if held else 'open'


def refuse(
    code: codes.ResultCode, detail: str = '', *, submission_id: str = ''
) -> Pending:
    """Answer at once."""
    return defer.succeed(
        answers.plain(code, detail=detail, submission_id=submission_id)
    )
