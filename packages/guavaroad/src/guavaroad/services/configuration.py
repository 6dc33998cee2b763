"""The configuration in force, and what may be admitted under it."""

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
_OPERATION_ID_BYTES: Final = 8
_EXPIRY_SPREAD_STEPS: Final = 10

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
        version: Version number.
        raw: Decoded JSON of the document.
        document: The validated document.
    """

    version: names.Version
    raw: dict[str, Any]
    document: document.Document


class ConfigurationService:
    """Tracks the head row on the platform and through peers.

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
        self.config_follower = follower.Follower(now_s=timer_service.now())
        self.in_force: InForce | None = None
        self.on_change: list[Callable[[], object]] = []
        self.peers = config_peers.ConfigPeers(
            bus=members.bus,
            membership_view=members.view,
            config_follower=self.config_follower,
            timer_service=timer_service,
            apply_row=self.apply_row,
        )
        self.voters = voters.VoterDirectory(
            membership_view=members.view,
            directory=directory,
            timer_service=timer_service,
        )
        self.row_since_s: float = 0
        members.heartbeat_sources.config = self.config_mark
        members.message_handlers.on_config_mark.append(
            self.peers.on_config_mark
        )
        timer_service.subscribe(period_s, self.refresh)

    def current(self) -> document.Document | None:
        """Return the document in force, if one is known."""
        return self.in_force.document if self.in_force else None

    def refusal(self, job: names.JobName) -> codes.ResultCode | None:
        """Return why new work of a job is refused now; none if it is not."""
        now_s = self.timers.now()
        return _REFUSALS.get(self.config_follower.verdict(job, now_s))

    def list_changed(self, listed: platform.InstanceList) -> None:
        """Record whether the platform lists other instances in this zone."""
        own_incarnation = self.members.view.own.incarnation
        self.config_follower.has_zone_peers = any(
            entry.availability_zone == own_incarnation.availability_zone
            and entry.address != own_incarnation.address
            for entry in listed.entries
        )

    def config_mark(self) -> membership_messages.ConfigMark:
        """Return the configuration mark that heartbeats carry."""
        head = self.config_follower.last_head_row
        if head is None:
            return membership_messages.ConfigMark()
        return membership_messages.ConfigMark(
            row_version=head.row_version,
            version=head.body.version,
            digest=head.digest,
        )

    def refresh(self) -> 'defer.Deferred[None]':
        """Read the head row."""
        return defer.ensureDeferred(self.read_head())

    async def read_head(self) -> None:
        """Read the head row, and abort a proposal that has expired."""
        started_s = self.timers.now()
        row = await self.head.read()
        match row:
            case head_row.HeadRow():
                contact_s = max(started_s, self.config_follower.last_contact_s)
                self.config_follower.last_contact_s = contact_s
                self.apply_row(row.row_version, row.body)
                await self.abort_expired(row)

    async def abort_expired(self, row: head_row.HeadRow) -> None:
        """Abort an open proposal that has expired.

        The delay after the expiry depends on the epoch, so that the instances
        do not all write at once.
        """
        proposal = row.body.proposal
        if (
            proposal is None
            or row.row_version != self.config_follower.row_version()
        ):
            return
        spread_s = (
            sum(self.epoch.encode())
            % _EXPIRY_SPREAD_STEPS
            / _EXPIRY_SPREAD_STEPS
        )
        open_s = self.timers.now() - self.row_since_s
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
        """Apply a head row of the platform or of a peer."""
        now_s = self.timers.now()
        if not self.config_follower.apply_row(row_version, body, now_s):
            return
        self.row_since_s = now_s
        if self.in_force and self.in_force.version == body.version:
            return
        head = self.config_follower.last_head_row
        if head is None:
            return
        self.in_force = InForce(
            version=names.Version(body.version),
            raw=body.document,
            document=head.in_force,
        )
        _LOG.info('version {} is in force', body.version)
        for callback in self.on_change:
            callback()

    def patch(
        self, base: int, body: bytes, operation_id: str = ''
    ) -> 'defer.Deferred[answers.Answer]':
        """Apply a merge patch to the base version.

        Args:
            base: Version that the patch is based on.
            body: Encoded merge patch.
            operation_id: Id by which a repeat is recognised; empty to
                generate one.

        Returns:
            A Deferred that fires with the answer.
        """
        request = change.PatchRequest(
            operation_id=operation_id or secrets.token_hex(_OPERATION_ID_BYTES),
            base=base,
            body=body,
        )
        dependencies = patching.Dependencies(
            head=self.head,
            bus=self.members.bus,
            peers=self.peers,
            voters=self.voters,
            timers=self.timers,
            apply_row=self.apply_row,
        )
        driver = patching.PatchDriver(
            dependencies=dependencies, request=request
        )
        return defer.ensureDeferred(driver.run())

    def show(self, operation_id: str = '') -> answers.Answer:
        """Answer with the document in force, or the state of a patch."""
        head = self.config_follower.last_head_row
        if head is None:
            return answers.plain(codes.ResultCode.NO_CONFIGURATION)
        if operation_id:
            return operation_answer(head.body, operation_id)
        proposal = head.body.proposal
        return answers.plain(
            codes.ResultCode.CONFIGURATION,
            extra={
                'version': head.body.version,
                'digest': head.digest,
                'document': head.body.document,
                'proposal': proposal,
                'in_doubt': self.config_follower.is_unconfirmed(
                    self.timers.now()
                ),
            },
        )

    def describe(self) -> dict[str, Any]:
        """Return the configuration's part of the state dump."""
        now_s = self.timers.now()
        head = self.config_follower.last_head_row
        return {
            'version': head.body.version if head else None,
            'row_version': self.config_follower.row_version(),
            'open_proposal': head.body.proposal if head else None,
            'in_doubt': self.config_follower.is_unconfirmed(now_s),
            'behind': self.config_follower.is_behind(now_s),
            'isolated': self.config_follower.is_isolated(now_s),
        }


def operation_answer(body: record.Record, operation_id: str) -> answers.Answer:
    """Answer with the state of an operation, as far as it is known here."""
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
