"""Requests about submissions, routed to the instance that answers them."""

from typing import Any

from twisted.internet import defer

from guavaroad.domain import codes, identity, jobs, names
from guavaroad.domain.submissions import records
from guavaroad.services import (
    answers,
    forwarding,
    outcomes,
    requests,
    resolving,
    takeover,
)
from guavaroad.services.owning import (
    keyed,
    local_answers,
    minting,
    ownership,
    record_events,
)

Pending = defer.Deferred[answers.Answer]


class SubmissionService:
    """Handles all requests about submissions."""

    def __init__(
        self,
        *,
        minter: minting.Minter,
        owner: ownership.SubmissionOwner,
        forwarder: forwarding.Forwarder,
        takeover_service: takeover.TakeoverService,
    ) -> None:
        self.minter = minter
        self.owner = owner
        self.outcome_cache = owner.outcome_cache
        self.draining = False
        self.answers = local_answers.LocalAnswers(minter=minter, owner=owner)
        self.resolver = resolving.Resolver(
            own_name=owner.own_name,
            forwarder=forwarder,
            takeover_service=takeover_service,
            answer_locally=self.answers.answer_locally,
            fresh_id=lambda parsed: minter.mint(parsed.team),
        )
        self.keys = keyed.KeyedSubmissions(
            minter=minter, owner=owner, relay=self.relay
        )
        self.record_events = record_events.RecordEvents(owner=owner)
        self.record_events.on_submission_moved.append(self.relay_moved)

    def refuse_new_submissions(self) -> None:
        """Refuse new submissions; known ones continue."""
        self.draining = True

    def mint_block(self, team: names.TeamName, count: int) -> answers.Answer:
        """Answer a request for fresh ids."""
        minted = [self.minter.mint(team) for _ in range(count)]
        return answers.plain(
            codes.ResultCode.IDS_MINTED, extra={'submission_ids': minted}
        )

    def submit(self, request: requests.SubmitRequest) -> Pending:
        """Run a submission, or forward it to its owner.

        Args:
            request: The submission.

        Returns:
            A Deferred that fires with the answer when the job has ended.
        """
        if not request.key:
            return self.run_owned(
                self.minter.mint_parsed(request.team), request
            )
        if identity.is_client_key(request.key):
            refusal = (
                jobs.JobNotCompleted(code=codes.ResultCode.DRAINING)
                if self.draining
                else None
            )
            return self.keys.submit(request, self.answers.join, refusal)
        parsed = identity.parse_id(request.key)
        checked = checked_id(parsed, request.team)
        match checked:
            case jobs.JobNotCompleted():
                return local_answers.refuse(checked.code, checked.detail)
        return self.submit_id(checked, request)

    def submit_id(
        self, parsed: identity.ParsedId, request: requests.SubmitRequest
    ) -> Pending:
        """Handle a submission with a minted id, whoever owns it."""
        entry = self.outcome_cache.find(identity.format_id(parsed))
        if entry is not None and entry.moved is None:
            return self.answers.join_checked(parsed, entry, request)
        if parsed.owner == self.minter.incarnation and entry is None:
            return self.run_owned(parsed, request)
        return self.answer_remotely(
            parsed,
            local_answers.to_forwarded_request(parsed, request),
            entry,
            request.forwarded,
        )

    def run_owned(
        self, parsed: identity.ParsedId, request: requests.SubmitRequest
    ) -> Pending:
        """Run a submission of this owner unless its id or job is refused."""
        submission_id = identity.format_id(parsed)
        id_refusal = self.minter.refusal(parsed, self.outcome_cache.horizon)
        if id_refusal is codes.ResultCode.ID_EXPIRED:
            return self.answer_remotely(
                parsed,
                local_answers.to_forwarded_request(parsed, request),
                None,
                forwarded=False,
            )
        if id_refusal is not None:
            return local_answers.refuse(id_refusal, submission_id=submission_id)
        if self.draining:
            refusal = jobs.JobNotCompleted(code=codes.ResultCode.DRAINING)
            return self.answers.join(
                parsed, self.owner.refuse(parsed, request, refusal)
            )
        entry = self.start(parsed, request)
        if request.respond_async and entry.outcome is None:
            return self.answers.answer_when_recorded(parsed, entry)
        return self.answers.join(parsed, entry)

    def start(
        self, parsed: identity.ParsedId, request: requests.SubmitRequest
    ) -> outcomes.Entry:
        """Check a submission and queue it, or refuse its id for good."""
        submission_id = identity.format_id(parsed)
        checked = self.owner.checker.check(submission_id, request)
        available = self.owner.recorder.available
        if request.respond_async and not available:
            checked = jobs.JobNotCompleted(code=codes.ResultCode.PLATFORM_AWAY)
        match checked:
            case jobs.JobNotCompleted():
                return self.owner.refuse(parsed, request, checked)
        return self.owner.run(parsed, request, checked)

    def show_or_cancel(
        self,
        team: names.TeamName,
        call: forwarding.ForwardedRequest,
        *,
        forwarded: bool,
    ) -> Pending:
        """Show or cancel a submission, whoever owns it.

        Args:
            team: Team of the token.
            call: The request.
            forwarded: Whether a peer sent it.

        Returns:
            A Deferred that fires with the answer.
        """
        parsed = identity.parse_id(call.submission_id)
        checked = checked_id(parsed, team)
        match checked:
            case jobs.JobNotCompleted():
                return local_answers.refuse(checked.code, checked.detail)
        answered = self.answers.answer_locally(checked, call)
        if answered is not None:
            return answered
        entry = self.outcome_cache.find(call.submission_id)
        return self.answer_remotely(checked, call, entry, forwarded)

    def answer_remotely(
        self,
        parsed: identity.ParsedId,
        call: forwarding.ForwardedRequest,
        entry: outcomes.Entry | None,
        forwarded: bool,
    ) -> Pending:
        """Get the answer of another owner, or of the table."""
        if entry is not None and entry.moved is not None:
            return self.relay(parsed, call, entry.moved)
        if forwarded:
            return local_answers.refuse(
                codes.ResultCode.OWNER_GONE, submission_id=call.submission_id
            )
        search = resolving.OwnerSearch(parsed=parsed, request=call)
        return defer.ensureDeferred(self.resolver.resolve(search, parsed.owner))

    def relay(
        self,
        parsed: identity.ParsedId,
        call: forwarding.ForwardedRequest,
        record: records.Record,
    ) -> Pending:
        """Get the answer of the owner that a record names."""
        search = resolving.OwnerSearch(
            parsed=parsed, request=call, fallback=record
        )
        owner = records.parse_owner(record.owner)
        return defer.ensureDeferred(self.resolver.resolve(search, owner))

    def relay_moved(self, entry: outcomes.Entry) -> None:
        """Relay the answer of the new owner to the requests that wait here."""
        request = entry.request
        record = entry.moved
        entry.request = None
        if request is None or record is None or not entry.waiters:
            return
        parsed = identity.parse_id(record.submission_id)
        match parsed:
            case identity.ParsedId():
                call = local_answers.to_forwarded_request(parsed, request)
                self.relay(parsed, call, record).addCallback(entry.notify)

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            'last_sequence': self.minter.last_sequence,
            'owned': self.owner.describe(),
            'records': self.owner.recorder.describe(),
            'takeover': self.resolver.takeover_service.describe(),
        }


def checked_id(
    parsed: identity.ParsedId | identity.InvalidId, team: names.TeamName
) -> identity.ParsedId | jobs.JobNotCompleted:
    """Return an id that a team may use, or why it may not."""
    match parsed:
        case identity.InvalidId():
            return jobs.JobNotCompleted(
                code=codes.ResultCode.BAD_SUBMISSION_ID, detail=parsed.reason
            )
    if parsed.team != team:
        return jobs.JobNotCompleted(
            code=codes.ResultCode.FORBIDDEN, detail='the id is of another team'
        )
    return parsed
