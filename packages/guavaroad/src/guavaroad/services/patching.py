"""Two-phase commit of a patch: propose, collect votes, commit or abort."""

import dataclasses
import secrets
from collections.abc import Callable
from typing import Any, Final

import loguru

from guavaroad.domain import codes, names
from guavaroad.domain.configuration import (
    change,
    follower,
    messages,
    proposal_round,
    record,
    timing,
)
from guavaroad.ports import peers, platform, timers
from guavaroad.services import answers, config_peers, head_row, voters

_LOG: Final = loguru.logger.bind(part='configuration')
_ID_BYTES: Final = 8
_DECISION_POLL_S: Final = 0.02
_RETRY_INTERVAL_S: Final = 0.05
# Lets another open proposal expire first and then allows a whole attempt.
_PATCH_TIMEOUT_S: Final = 25
_WRITE_TIMEOUT_S: Final = 5
_COMMIT_TIMEOUT_S: Final = 10

ApplyRow = Callable[[int, record.Record], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenProposal:
    """A proposal of this instance that is written to the table.

    Attributes:
        row_version: Version of the row that holds it.
        body: Body of that row.
        proposal: The proposal.
    """

    row_version: int
    body: record.Record
    proposal: record.Proposal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Dependencies of a patch driver.

    Attributes:
        head: The head row on the table.
        bus: Message bus to the other instances.
        peers: Exchange of rows and votes with the other instances.
        voters: Instances that must confirm a proposal.
        timers: Timer service.
        apply_row: Applies each row that the driver reads or writes.
    """

    head: head_row.HeadTable
    bus: peers.PeerBus
    peers: config_peers.ConfigPeers
    voters: voters.VoterDirectory
    timers: timers.TimerService
    apply_row: ApplyRow


class PatchDriver:
    """Attempts a patch until it is accepted or refused."""

    def __init__(
        self, *, dependencies: Dependencies, request: change.PatchRequest
    ) -> None:
        self.dependencies = dependencies
        self.request = request
        self.deadline_s = dependencies.timers.now() + _PATCH_TIMEOUT_S
        self.open_row_version = follower.NO_ROW_VERSION
        self.open_since_s: float = 0

    async def run(self) -> answers.Answer:
        """Return the answer for the operator."""
        while True:
            row = await self.dependencies.head.read()
            match row:
                case platform.Away():
                    return refused(codes.ResultCode.PLATFORM_AWAY, row.detail)
            self.dependencies.apply_row(row.row_version, row.body)
            answer = await self.attempt(self.newest(row))
            if answer is not None:
                return answer
            if self.dependencies.timers.now() > self.deadline_s:
                return refused(
                    codes.ResultCode.PATCH_BUSY,
                    'another proposal stayed open',
                )
            await self.dependencies.head.pause(_RETRY_INTERVAL_S)

    def newest(self, row: head_row.HeadRow) -> head_row.HeadRow:
        """Return the row known here if it is newer than the one read."""
        head = self.dependencies.peers.config_follower.last_head_row
        if head is None or head.row_version <= row.row_version:
            return row
        return head_row.HeadRow(row_version=head.row_version, body=head.body)

    async def attempt(self, row: head_row.HeadRow) -> answers.Answer | None:
        """Attempt the patch on a row; none means to read the row again."""
        accepted_patch = row.body.find_operation(self.request.operation_id)
        if accepted_patch is not None:
            return self.answer_repeat(accepted_patch)
        if row.body.proposal is not None:
            await self.abort_if_expired(row, row.body.proposal)
            return None
        if row.body.version != self.request.base:
            return stale_base(row.body.version)
        checked = change.check(row.body, self.request)
        match checked:
            case change.Refused():
                return refused(
                    codes.ResultCode.PATCH_INVALID, '; '.join(checked.problems)
                )
        proposal = self.new_proposal(checked)
        return await self.propose(row, proposal)

    def answer_repeat(self, accepted_patch: record.Accepted) -> answers.Answer:
        """Answer a repeat of a patch that was committed."""
        if accepted_patch.change_digest != self.request.digest():
            return answers.plain(codes.ResultCode.ID_REUSED)
        return accepted(accepted_patch.version)

    async def abort_if_expired(
        self, row: head_row.HeadRow, open_proposal: record.Proposal
    ) -> None:
        """Abort a proposal that has been open here for the expiry time."""
        now_s = self.dependencies.timers.now()
        if row.row_version != self.open_row_version:
            self.open_row_version = row.row_version
            self.open_since_s = now_s
        if now_s - self.open_since_s < timing.PROPOSAL_EXPIRY_S:
            return
        _LOG.warning('proposal {} expired', open_proposal.proposal_id)
        await self.dependencies.head.write(
            step_id(open_proposal, f'expired/{secrets.token_hex(_ID_BYTES)}'),
            row.row_version,
            record.abort(row.body),
            budget_s=0,
        )

    def new_proposal(self, checked: change.Change) -> record.Proposal:
        """Return a new proposal for the patch."""
        return record.Proposal(
            proposal_id=secrets.token_hex(_ID_BYTES),
            operation_id=self.request.operation_id,
            change_digest=self.request.digest(),
            base=self.request.base,
            change=checked.patch,
            driver=self.dependencies.peers.own_address,
        )

    async def propose(
        self, row: head_row.HeadRow, proposal: record.Proposal
    ) -> answers.Answer | None:
        """Write the proposal, then collect the votes."""
        body = record.propose(row.body, proposal)
        outcome = await self.dependencies.head.write(
            step_id(proposal, 'open'),
            row.row_version,
            body,
            budget_s=_WRITE_TIMEOUT_S,
        )
        match outcome:
            case platform.Conflict():
                return None
            case platform.Away():
                return refused(codes.ResultCode.PLATFORM_AWAY, outcome.detail)
            case platform.Unknown():
                # Only this driver could commit the proposal, and it stops here.
                return refused(codes.ResultCode.PLATFORM_AWAY, outcome.detail)
        opened = OpenProposal(
            row_version=row.row_version + 1, body=body, proposal=proposal
        )
        self.dependencies.apply_row(opened.row_version, body)
        collector = VoteCollector(dependencies=self.dependencies, opened=opened)
        if await collector.collect() is proposal_round.Decision.COMMIT:
            return await self.commit(opened)
        return await self.abort(opened, collector.round)

    async def commit(self, opened: OpenProposal) -> answers.Answer:
        """Write the new version and notify the other instances."""
        body = record.commit(opened.body)
        outcome = await self.dependencies.head.write(
            step_id(opened.proposal, 'commit'),
            opened.row_version,
            body,
            budget_s=_COMMIT_TIMEOUT_S,
        )
        match outcome:
            case platform.Committed():
                self.publish_outcome(opened, body, committed=True)
                return accepted(body.version)
            case platform.Conflict():
                return refused(
                    codes.ResultCode.PATCH_UNCONFIRMED, 'the proposal expired'
                )
        return answers.plain(
            codes.ResultCode.PATCH_UNKNOWN,
            detail=outcome.detail,
            extra={'operation': self.request.operation_id},
        )

    async def abort(
        self, opened: OpenProposal, votes: proposal_round.ProposalRound
    ) -> answers.Answer:
        """Abort the proposal and answer who did not confirm it."""
        reason = votes.refusal_reason()
        body = record.abort(opened.body)
        outcome = await self.dependencies.head.write(
            step_id(opened.proposal, 'abort'),
            opened.row_version,
            body,
            budget_s=_WRITE_TIMEOUT_S,
        )
        match outcome:
            case platform.Committed():
                self.publish_outcome(opened, body, committed=False)
        code = codes.ResultCode.PATCH_UNCONFIRMED
        if votes.objections():
            code = codes.ResultCode.PATCH_INVALID
        return refused(code, reason)

    def publish_outcome(
        self, opened: OpenProposal, body: record.Record, *, committed: bool
    ) -> None:
        """Apply the outcome and send it to the other instances."""
        row_version = opened.row_version + 1
        self.dependencies.apply_row(row_version, body)
        closed = messages.Closed(
            row_version=row_version,
            proposal_id=opened.proposal.proposal_id,
            committed=committed,
        )
        for voter in self.dependencies.voters.voters():
            self.dependencies.bus.send(voter.peer_address, closed)


class VoteCollector:
    """Requests votes on a proposal until it is decided."""

    def __init__(
        self, *, dependencies: Dependencies, opened: OpenProposal
    ) -> None:
        self.dependencies = dependencies
        self.opened = opened
        self.round = proposal_round.ProposalRound(
            proposal_id=opened.proposal.proposal_id,
            started_s=dependencies.timers.now(),
        )
        self.last_sent_s: float = -timing.RESEND_INTERVAL_S

    async def collect(self) -> proposal_round.Decision:
        """Collect the votes and return the decision."""
        exchange = self.dependencies.peers
        origin = exchange.own_peer_address
        self.round.record_vote(
            origin,
            exchange.new_vote(
                self.opened.row_version, self.opened.proposal, origin
            ),
        )
        exchange.on_vote.append(self.round.record_vote)
        self.dependencies.voters.refresh()
        decision = await self.wait_for_decision()
        exchange.on_vote.remove(self.round.record_vote)
        return decision

    async def wait_for_decision(self) -> proposal_round.Decision:
        """Resend the proposal until there is a decision."""
        while True:
            self.round.set_voters(self.dependencies.voters.voters())
            self.round.listed_zones = self.dependencies.voters.listed_zones(
                self.round.started_s
            )
            now_s = self.dependencies.timers.now()
            decision = self.round.decide(now_s)
            if decision is not proposal_round.Decision.WAIT:
                return decision
            self.dependencies.peers.config_follower.last_confirmed_s = now_s
            if now_s - self.last_sent_s >= timing.RESEND_INTERVAL_S:
                self.last_sent_s = now_s
                self.send_to_all()
            await self.dependencies.head.pause(_DECISION_POLL_S)

    def send_to_all(self) -> None:
        """Send the proposal to every voter, with relays for missing ones."""
        relays = self.round.relay_targets()
        for voter in self.round.voters.values():
            relay_to = tuple(relays.get(voter.peer_address, ()))
            self.send(voter.peer_address, relay_to)
        own = self.dependencies.peers.own_peer_address
        for address in relays.get(own, ()):
            self.send(address, ())

    def send(
        self,
        to: names.PeerAddress,
        relay_to: tuple[names.PeerAddress, ...],
    ) -> None:
        """Send the proposal to one instance."""
        proposed = messages.Proposed(
            row_version=self.opened.row_version,
            proposal=self.opened.proposal,
            origin=self.dependencies.peers.own_peer_address,
            relay_to=relay_to,
        )
        self.dependencies.bus.send(to, proposed)


def step_id(proposal: record.Proposal, step: str) -> str:
    """Return the unique operation id of one write for a proposal."""
    return f'{proposal.proposal_id}/{step}'


def accepted(version: int) -> answers.Answer:
    """Answer that the patch is committed."""
    extra: dict[str, Any] = {'version': version}
    return answers.plain(codes.ResultCode.PATCH_ACCEPTED, extra=extra)


def refused(code: codes.ResultCode, detail: str) -> answers.Answer:
    """Answer that the patch is not in force and never will be."""
    return answers.plain(code, detail=detail)


def stale_base(live_version: int) -> answers.Answer:
    """Refuse a patch that is based on another than the live version."""
    return answers.plain(
        codes.ResultCode.PATCH_STALE,
        detail=f'the live version is {live_version}',
        extra={'version': live_version},
    )
