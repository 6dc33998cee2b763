"""Drives one operator's patch: propose, collect votes, commit or abort."""

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
_LOOK_S: Final = 0.02
_WAIT_S: Final = 0.05
# Covers an open proposal that must expire first, and then a whole try.
_BUDGET_S: Final = 25
_WRITE_S: Final = 5
_SETTLE_S: Final = 10

Learn = Callable[[int, record.Record], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Open:
    """A proposal of this instance that is written.

    Attributes:
        row_version: Version of the row that holds it.
        body: Body of that row.
        proposal: The proposal.
    """

    row_version: int
    body: record.Record
    proposal: record.Proposal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """What a driver works with.

    Attributes:
        head: The head row on the table.
        bus: Messages to the others.
        peers: This instance's own part in the protocol.
        voters: Who may be serving.
        timers: Timer service.
        learn: Takes each row that the driver reads or writes.
    """

    head: head_row.HeadTable
    bus: peers.PeerBus
    peers: config_peers.ConfigPeers
    voters: voters.Electorate
    timers: timers.TimerService
    learn: Learn


class Driver:
    """One try after another until the patch is accepted or refused."""

    def __init__(self, *, parts: Parts, request: change.PatchRequest) -> None:
        self.parts = parts
        self.request = request
        self.give_up_s = parts.timers.now() + _BUDGET_S
        self.seen_row = follower.NO_ROW_VERSION
        self.seen_s: float = 0

    async def run(self) -> answers.Answer:
        """Return the answer for the operator."""
        while True:
            row = await self.parts.head.read()
            match row:
                case platform.Away():
                    return refused(codes.ResultCode.PLATFORM_AWAY, row.detail)
            self.parts.learn(row.row_version, row.body)
            answer = await self.attempt(self.newest(row))
            if answer is not None:
                return answer
            if self.parts.timers.now() > self.give_up_s:
                return refused(
                    codes.ResultCode.PATCH_BUSY,
                    'another proposal stayed open',
                )
            await self.parts.head.pause(_WAIT_S)

    def newest(self, row: head_row.HeadRow) -> head_row.HeadRow:
        """Return the known row instead of an old one that was read late."""
        known = self.parts.peers.follower.last_head_row
        if known is None or known.row_version <= row.row_version:
            return row
        return head_row.HeadRow(row_version=known.row_version, body=known.body)

    async def attempt(self, row: head_row.HeadRow) -> answers.Answer | None:
        """Go one step on from a row; none means to look again."""
        known = row.body.find_operation(self.request.operation_id)
        if known is not None:
            return self.repeated(known)
        if row.body.proposal is not None:
            await self.abort_if_expired(row, row.body.proposal)
            return None
        if row.body.version != self.request.base:
            return stale(row.body.version)
        checked = change.check(row.body, self.request)
        match checked:
            case change.Refused():
                return refused(
                    codes.ResultCode.PATCH_INVALID, '; '.join(checked.problems)
                )
        proposal = self.proposal(checked)
        return await self.propose(row, proposal)

    def repeated(self, known: record.Accepted) -> answers.Answer:
        """Answer a repeat of a patch that was committed."""
        if known.change_digest != self.request.digest():
            return answers.plain(codes.ResultCode.ID_REUSED)
        return accepted(known.version)

    async def abort_if_expired(
        self, row: head_row.HeadRow, open_proposal: record.Proposal
    ) -> None:
        """Close another's proposal that stayed open for too long here."""
        now_s = self.parts.timers.now()
        if row.row_version != self.seen_row:
            self.seen_row = row.row_version
            self.seen_s = now_s
        if now_s - self.seen_s < timing.PROPOSAL_EXPIRY_S:
            return
        _LOG.warning('proposal {} expired', open_proposal.proposal_id)
        await self.parts.head.write(
            step_id(open_proposal, f'expired/{secrets.token_hex(_ID_BYTES)}'),
            row.row_version,
            record.abort(row.body),
            budget_s=0,
        )

    def proposal(self, checked: change.Change) -> record.Proposal:
        """Return a new proposal for the patch."""
        return record.Proposal(
            proposal_id=secrets.token_hex(_ID_BYTES),
            operation_id=self.request.operation_id,
            change_digest=self.request.digest(),
            base=self.request.base,
            change=checked.patch,
            driver=self.parts.peers.own_address,
        )

    async def propose(
        self, row: head_row.HeadRow, proposal: record.Proposal
    ) -> answers.Answer | None:
        """Write the proposal, then collect the votes."""
        body = record.propose(row.body, proposal)
        outcome = await self.parts.head.write(
            step_id(proposal, 'open'),
            row.row_version,
            body,
            budget_s=_WRITE_S,
        )
        match outcome:
            case platform.Conflict():
                return None
            case platform.Away():
                return refused(codes.ResultCode.PLATFORM_AWAY, outcome.detail)
            case platform.Unknown():
                # Never committed: only this driver would, and it gives up.
                return refused(codes.ResultCode.PLATFORM_AWAY, outcome.detail)
        opened = Open(
            row_version=row.row_version + 1, body=body, proposal=proposal
        )
        self.parts.learn(opened.row_version, body)
        ballot = Ballot(parts=self.parts, opened=opened)
        if await ballot.collect() is proposal_round.Decision.COMMIT:
            return await self.commit(opened)
        return await self.refuse(opened, ballot.drive)

    async def commit(self, opened: Open) -> answers.Answer:
        """Write the new version and tell everybody."""
        body = record.commit(opened.body)
        outcome = await self.parts.head.write(
            step_id(opened.proposal, 'commit'),
            opened.row_version,
            body,
            budget_s=_SETTLE_S,
        )
        match outcome:
            case platform.Committed():
                self.close(opened, body, committed=True)
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

    async def refuse(
        self, opened: Open, votes: proposal_round.ProposalRound
    ) -> answers.Answer:
        """Close the proposal and say who did not confirm."""
        reason = votes.refusal_reason()
        body = record.abort(opened.body)
        outcome = await self.parts.head.write(
            step_id(opened.proposal, 'abort'),
            opened.row_version,
            body,
            budget_s=_WRITE_S,
        )
        match outcome:
            case platform.Committed():
                self.close(opened, body, committed=False)
        code = codes.ResultCode.PATCH_UNCONFIRMED
        if votes.objections():
            code = codes.ResultCode.PATCH_INVALID
        return refused(code, reason)

    def close(
        self, opened: Open, body: record.Record, *, committed: bool
    ) -> None:
        """Take the outcome and tell it to every other instance."""
        row_version = opened.row_version + 1
        self.parts.learn(row_version, body)
        told = messages.Closed(
            row_version=row_version,
            proposal_id=opened.proposal.proposal_id,
            committed=committed,
        )
        for voter in self.parts.voters.voters():
            self.parts.bus.send(voter.peer_address, told)


class Ballot:
    """Asks everybody for a vote until the proposal is decided."""

    def __init__(self, *, parts: Parts, opened: Open) -> None:
        self.parts = parts
        self.opened = opened
        self.drive = proposal_round.ProposalRound(
            proposal_id=opened.proposal.proposal_id,
            started_s=parts.timers.now(),
        )
        self.asked_s: float = -timing.RESEND_INTERVAL_S

    async def collect(self) -> proposal_round.Decision:
        """Return the decision."""
        own = self.parts.peers
        origin = own.own_peer_address
        self.drive.record_vote(
            origin,
            own.vote(self.opened.row_version, self.opened.proposal, origin),
        )
        own.on_vote.append(self.drive.record_vote)
        self.parts.voters.refresh()
        decision = await self.wait()
        own.on_vote.remove(self.drive.record_vote)
        return decision

    async def wait(self) -> proposal_round.Decision:
        """Ask again and again until there is a decision."""
        while True:
            self.drive.set_voters(self.parts.voters.voters())
            self.drive.listed_zones = self.parts.voters.listed_zones(
                self.drive.started_s
            )
            now_s = self.parts.timers.now()
            decision = self.drive.decide(now_s)
            if decision is not proposal_round.Decision.WAIT:
                return decision
            self.parts.peers.follower.last_confirmed_s = now_s
            if now_s - self.asked_s >= timing.RESEND_INTERVAL_S:
                self.asked_s = now_s
                self.ask()
            await self.parts.head.pause(_LOOK_S)

    def ask(self) -> None:
        """Send the proposal to every voter, and relays for the missing."""
        relays = self.drive.relay_targets()
        for voter in self.drive.voters.values():
            relay_to = tuple(relays.get(voter.peer_address, ()))
            self.send(voter.peer_address, relay_to)
        own = self.parts.peers.own_peer_address
        for address in relays.get(own, ()):
            self.send(address, ())

    def send(
        self,
        to: names.PeerAddress,
        relay_to: tuple[names.PeerAddress, ...],
    ) -> None:
        """Send the proposal to one instance."""
        asked = messages.Proposed(
            row_version=self.opened.row_version,
            proposal=self.opened.proposal,
            origin=self.parts.peers.own_peer_address,
            relay_to=relay_to,
        )
        self.parts.bus.send(to, asked)


def step_id(proposal: record.Proposal, step: str) -> str:
    """Return the unique operation id of one write for a proposal."""
    return f'{proposal.proposal_id}/{step}'


def accepted(version: int) -> answers.Answer:
    """Answer that the patch is committed."""
    extra: dict[str, Any] = {'version': version}
    return answers.plain(codes.ResultCode.PATCH_ACCEPTED, extra=extra)


def refused(code: codes.ResultCode, detail: str) -> answers.Answer:
    """Answer that the patch is not in force and will not be."""
    return answers.plain(code, detail=detail)


def stale(live: int) -> answers.Answer:
    """Refuse a patch on another version than the live one."""
    return answers.plain(
        codes.ResultCode.PATCH_STALE,
        detail=f'the live version is {live}',
        extra={'version': live},
    )
