"""Keeps the configuration in force, and says what may be admitted."""

import dataclasses
import secrets
import types
from collections.abc import Callable
from typing import Any, Final

import loguru
from twisted.internet import defer

from guavaroad.domain import codes, names
from guavaroad.domain.configuration import (
    change,
    document,
    follower,
    record,
    timing,
)
from guavaroad.domain.membership import messages as membership_messages
from guavaroad.ports import platform, timers
from guavaroad.services import (
    answers,
    config_peers,
    head_row,
    membership,
    patching,
    voters,
)

_LOG: Final = loguru.logger.bind(part='configuration')
_OPERATION_BYTES: Final = 8
_EXPIRY_SPREAD: Final = 10

_REFUSALS: Final = types.MappingProxyType(
    {
        follower.Verdict.NO_CONFIGURATION: codes.ResultCode.NO_CONFIGURATION,
        follower.Verdict.UNCONFIRMED: codes.ResultCode.CONFIGURATION_IN_DOUBT,
        follower.Verdict.BEHIND: codes.ResultCode.CONFIGURATION_IN_DOUBT,
        follower.Verdict.ISOLATED: codes.ResultCode.ISOLATED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """The configuration this instance serves.

    Attributes:
        version: Its number.
        raw: Decoded JSON of the document.
        document: The document, checked.
    """

    version: names.Version
    raw: dict[str, Any]
    document: document.Document


class ConfigurationService:
    """Follows the head row on the platform and through peers.

    Attributes:
        on_change: Called after a change of the version in force.
    """

    def __init__(
        self,
        *,
        table: platform.TablePort,
        directory: platform.DirectoryPort,
        members: membership.MembershipService,
        timer_service: timers.TimerService,
        period_s: float,
    ) -> None:
        self.timers = timer_service
        self.members = members
        self.epoch = members.view.own.incarnation.epoch
        self.head = head_row.HeadTable(table=table, timer_service=timer_service)
        self.follower = follower.Follower(now_s=timer_service.now())
        self.in_force: InForce | None = None
        self.on_change: list[Callable[[], object]] = []
        self.peers = config_peers.ConfigPeers(
            bus=members.bus,
            known=members.view,
            follows=self.follower,
            timer_service=timer_service,
            learn=self.apply_row,
        )
        self.voters = voters.Electorate(
            known=members.view,
            directory=directory,
            timer_service=timer_service,
        )
        self.proposal_since_s: float = 0
        members.heartbeat_sources.config = self.mark
        members.inbox.on_mark.append(self.peers.on_mark)
        timer_service.subscribe(period_s, self.refresh)

    def current(self) -> document.Document | None:
        """Return the document in force, if one is known."""
        return self.in_force.document if self.in_force else None

    def refusal(self, job: names.JobName) -> codes.ResultCode | None:
        """Return why new work of a job may not be admitted now, if so."""
        now_s = self.timers.now()
        return _REFUSALS.get(self.follower.verdict(job, now_s))

    def list_changed(self, listed: platform.InstanceList) -> None:
        """Take note that the platform lists no other in this zone."""
        own = self.members.view.own.incarnation
        self.follower.has_zone_peers = any(
            entry.availability_zone == own.availability_zone
            and entry.address != own.address
            for entry in listed.entries
        )

    def mark(self) -> membership_messages.ConfigMark:
        """Return what heartbeats say of the configuration."""
        known = self.follower.last_head_row
        if known is None:
            return membership_messages.ConfigMark()
        return membership_messages.ConfigMark(
            row_version=known.row_version,
            version=known.body.version,
            digest=known.digest,
        )

    def refresh(self) -> 'defer.Deferred[None]':
        """Read the head row."""
        return defer.ensureDeferred(self.read_head())

    async def read_head(self) -> None:
        """Read the head row, and close a proposal that nobody drives."""
        asked_s = self.timers.now()
        row = await self.head.read()
        match row:
            case head_row.HeadRow():
                contact_s = max(asked_s, self.follower.last_contact_s)
                self.follower.last_contact_s = contact_s
                self.apply_row(row.row_version, row.body)
                await self.abort_expired(row)

    async def abort_expired(self, row: head_row.HeadRow) -> None:
        """Abort an open proposal some time after its expiry."""
        proposal = row.body.proposal
        if proposal is None or row.row_version != self.follower.row_version():
            return
        spread_s = sum(self.epoch.encode()) % _EXPIRY_SPREAD / _EXPIRY_SPREAD
        open_s = self.timers.now() - self.proposal_since_s
        if open_s < timing.PROPOSAL_EXPIRY_S + spread_s:
            return
        _LOG.warning('proposal {} expired', proposal.proposal_id)
        await self.head.write(
            f'{proposal.proposal_id}/expired/{self.epoch}',
            row.row_version,
            record.abort(row.body),
            budget_s=0,
        )

    def apply_row(self, row_version: int, body: record.Record) -> None:
        """Take a head row from anywhere."""
        now_s = self.timers.now()
        if not self.follower.apply_row(row_version, body, now_s):
            return
        self.proposal_since_s = now_s
        if self.in_force and self.in_force.version == body.version:
            return
        checked = self.follower.last_head_row
        if checked is None:
            return
        self.in_force = InForce(
            version=names.Version(body.version),
            raw=body.document,
            document=checked.in_force,
        )
        _LOG.info('version {} is in force', body.version)
        for changed in self.on_change:
            changed()

    def patch(
        self, base: int, body: bytes, operation_id: str = ''
    ) -> 'defer.Deferred[answers.Answer]':
        """Apply a merge patch to the base version.

        Args:
            base: Version the operator saw.
            body: Encoded merge patch.
            operation_id: Id that makes a repeat safe; empty for a new one.

        Returns:
            Fires with the answer.
        """
        request = change.PatchRequest(
            operation_id=operation_id or secrets.token_hex(_OPERATION_BYTES),
            base=base,
            body=body,
        )
        parts = patching.Parts(
            head=self.head,
            bus=self.members.bus,
            peers=self.peers,
            voters=self.voters,
            timers=self.timers,
            learn=self.apply_row,
        )
        driver = patching.Driver(parts=parts, request=request)
        return defer.ensureDeferred(driver.run())

    def show(self, operation_id: str = '') -> answers.Answer:
        """Answer with the document in force, or what a patch came to."""
        known = self.follower.last_head_row
        if known is None:
            return answers.plain(codes.ResultCode.NO_CONFIGURATION)
        if operation_id:
            return shown_operation(known.body, operation_id)
        proposal = known.body.proposal
        return answers.plain(
            codes.ResultCode.CONFIGURATION,
            extra={
                'version': known.body.version,
                'digest': known.digest,
                'document': known.body.document,
                'proposal': proposal,
                'in_doubt': self.follower.is_unconfirmed(self.timers.now()),
            },
        )

    def describe(self) -> dict[str, Any]:
        """Return the configuration's part of the state dump."""
        now_s = self.timers.now()
        known = self.follower.last_head_row
        return {
            'version': known.body.version if known else None,
            'row_version': self.follower.row_version(),
            'open_proposal': known.body.proposal if known else None,
            'in_doubt': self.follower.is_unconfirmed(now_s),
            'behind': self.follower.is_behind(now_s),
            'isolated': self.follower.is_isolated(now_s),
        }


def shown_operation(body: record.Record, operation_id: str) -> answers.Answer:
    """Answer what became of an operation, as far as is known here."""
    accepted = body.find_operation(operation_id)
    state = 'not accepted so far'
    extra: dict[str, Any] = {'version': body.version}
    if accepted is not None:
        state = 'accepted'
        extra = {'version': accepted.version}
    elif body.proposal and body.proposal.operation_id == operation_id:
        state = 'open'
    return answers.plain(
        codes.ResultCode.CONFIGURATION,
        detail=f'operation {operation_id} is {state}',
        extra=extra | {'operation': operation_id, 'state': state},
    )
