"""Exchange of configuration rows and proposal votes between instances."""

import collections
from collections.abc import Callable, Iterable
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.configuration import follower, messages, record
from guavaroad.domain.membership import messages as membership_messages
from guavaroad.domain.membership import view
from guavaroad.ports import peers, timers

_MS: Final = 1000
_REQUEST_INTERVAL_S: Final = 0.2


class ConfigPeers:
    """Handles the configuration messages of other instances.

    Attributes:
        jobs_in_use: Returns the jobs that have tasks queued or running here.
        on_vote: Called with each vote for a proposal of this instance.
    """

    def __init__(
        self,
        *,
        bus: peers.PeerBus,
        membership_view: view.View,
        config_follower: follower.Follower,
        timer_service: timers.TimerService,
        apply_row: Callable[[int, record.Record], None],
    ) -> None:
        self.bus = bus
        self.view = membership_view
        self.config_follower = config_follower
        self.timers = timer_service
        self.apply_row = apply_row
        self.jobs_in_use: Callable[[], Iterable[names.JobName]] = tuple
        self.on_vote: list[
            Callable[[names.PeerAddress, messages.Confirmed], None]
        ] = []
        self.own_peer_address = membership_view.own.peer_address
        self.own_address = membership_view.own.incarnation.address
        self.last_request_s: float = -_REQUEST_INTERVAL_S
        self.counts: collections.Counter[str] = collections.Counter()
        bus.subscribe(messages.Proposed, self.on_proposed)
        bus.subscribe(messages.Confirmed, self.on_confirmed)
        bus.subscribe(messages.Closed, self.on_closed)
        bus.subscribe(messages.RecordWanted, self.on_record_wanted)
        bus.subscribe(messages.RecordSent, self.on_record_sent)

    def on_config_mark(
        self,
        address: names.PeerAddress,
        zone: names.AvailabilityZone,
        mark: membership_messages.ConfigMark,
    ) -> None:
        """Compare the row version in a peer's heartbeat with the own one."""
        now_s = self.timers.now()
        if zone == self.view.zone:
            self.config_follower.last_contact_s = now_s
            self.config_follower.has_zone_peers = True
        if (
            mark.row_version == 0
            and self.config_follower.last_head_row is not None
        ):
            return
        if self.config_follower.observe_version(mark.row_version, now_s):
            self.request_row(address)

    def request_row(self, address: names.PeerAddress) -> None:
        """Request the head row from a peer, at most once per interval."""
        now_s = self.timers.now()
        if now_s - self.last_request_s < _REQUEST_INTERVAL_S:
            return
        self.last_request_s = now_s
        wanted = messages.RecordWanted(
            row_version=self.config_follower.row_version()
        )
        self.bus.send(address, wanted)

    def on_record_wanted(
        self, peer: peers.Peer, request: messages.RecordWanted
    ) -> None:
        """Send the head row to a peer that has an older one."""
        head = self.config_follower.last_head_row
        if head is None or head.row_version <= request.row_version:
            return
        reply = messages.RecordSent(
            row_version=head.row_version, body=record.encode(head.body)
        )
        self.bus.send(peer.peer_address, reply)

    def on_record_sent(self, _: peers.Peer, reply: messages.RecordSent) -> None:
        """Apply a peer's head row if it is newer."""
        if reply.row_version > self.config_follower.row_version():
            self.apply_row(reply.row_version, record.decode(reply.body))

    def on_proposed(
        self, peer: peers.Peer, proposed: messages.Proposed
    ) -> None:
        """Apply a proposal, vote on it, and relay it as requested."""
        for address in proposed.relay_to:
            relayed = messages.Proposed(
                row_version=proposed.row_version,
                proposal=proposed.proposal,
                origin=proposed.origin,
            )
            self.bus.send(address, relayed)
        if not self.has_proposal(proposed):
            self.apply_proposal(proposed)
        if self.has_proposal(proposed):
            self.config_follower.last_confirmed_s = self.timers.now()
            vote = self.new_vote(
                proposed.row_version, proposed.proposal, proposed.origin
            )
            self.bus.send(peer.peer_address, vote)
        elif self.config_follower.row_version() < proposed.row_version:
            self.request_row(peer.peer_address)

    def has_proposal(self, proposed: messages.Proposed) -> bool:
        """Return whether the proposal's row is the newest one here."""
        head = self.config_follower.last_head_row
        return head is not None and head.row_version == proposed.row_version

    def apply_proposal(self, proposed: messages.Proposed) -> None:
        """Apply a proposal if it is based on the version known here."""
        head = self.config_follower.last_head_row
        if head is None or head.body.version != proposed.proposal.base:
            return
        if head.row_version < proposed.row_version:
            closed = record.abort(head.body)
            self.apply_row(
                proposed.row_version, record.propose(closed, proposed.proposal)
            )

    def new_vote(
        self,
        row_version: int,
        proposal: record.Proposal,
        origin: names.PeerAddress,
    ) -> messages.Confirmed:
        """Return this instance's vote on a proposal that it has applied."""
        now_s = self.timers.now()
        return messages.Confirmed(
            row_version=row_version,
            proposal_id=proposal.proposal_id,
            epoch=self.view.own.incarnation.epoch,
            zone=self.view.zone,
            origin=origin,
            objection=self.objection(),
            observation_time_ms=round(
                self.view.observation_time_s(now_s) * _MS
            ),
            since_heartbeat_ms={
                zone_peer.peer_address: round(
                    (now_s - zone_peer.last_heartbeat_s) * _MS
                )
                for zone_peer in self.view.zone_peers.by_epoch.values()
            },
        )

    def objection(self) -> str:
        """Return why the open proposal may not be committed; else empty."""
        head = self.config_follower.last_head_row
        if head is None or head.body.proposal is None:
            return ''
        address = self.own_address
        if head.proposed is None:
            return f'{address} finds the document invalid'
        removed = set(head.in_force.jobs) - set(head.proposed.jobs)
        used = sorted(removed & set(self.jobs_in_use()))
        if used:
            return f'jobs.{used[0]}: in use at {address}, not removed'
        return ''

    def on_confirmed(self, peer: peers.Peer, vote: messages.Confirmed) -> None:
        """Report a vote, or forward it to the instance that proposed."""
        if vote.origin != self.own_peer_address:
            self.bus.send(vote.origin, vote)
            return
        address = self.address_of(vote.epoch) or peer.peer_address
        for callback in self.on_vote:
            callback(address, vote)

    def address_of(self, epoch: names.Epoch) -> names.PeerAddress | None:
        """Return the peer address of an instance, if it is known."""
        member = self.view.members(self.timers.now()).get(epoch)
        return member.peer_address if member else None

    def on_closed(self, peer: peers.Peer, closed: messages.Closed) -> None:
        """Apply the outcome of a proposal."""
        head = self.config_follower.last_head_row
        if head is None or closed.row_version <= head.row_version:
            return
        proposal = head.body.proposal
        if proposal is None or proposal.proposal_id != closed.proposal_id:
            self.config_follower.observe_version(
                closed.row_version, self.timers.now()
            )
            self.request_row(peer.peer_address)
            return
        step = record.commit if closed.committed else record.abort
        self.apply_row(closed.row_version, step(head.body))
