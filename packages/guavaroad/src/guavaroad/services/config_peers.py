"""Follows the configuration through peers, and confirms proposals."""

import collections
from collections.abc import Callable, Iterable
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.configuration import follower, messages, record
from guavaroad.domain.membership import messages as membership_messages
from guavaroad.domain.membership import view
from guavaroad.ports import peers, timers

_MS: Final = 1000
_ASK_AGAIN_S: Final = 0.2


class ConfigPeers:
    """Takes the messages of the configuration from the bus.

    Attributes:
        in_use: Returns the names of jobs that have work here.
        on_vote: Called with each vote for a proposal of this instance.
    """

    def __init__(
        self,
        *,
        bus: peers.PeerBus,
        known: view.View,
        follows: follower.Follower,
        timer_service: timers.TimerService,
        learn: Callable[[int, record.Record], None],
    ) -> None:
        self.bus = bus
        self.view = known
        self.follower = follows
        self.timers = timer_service
        self.learn = learn
        self.in_use: Callable[[], Iterable[names.JobName]] = tuple
        self.on_vote: list[
            Callable[[names.PeerAddress, messages.Confirmed], None]
        ] = []
        self.own_peer_address = known.own.peer_address
        self.own_address = known.own.incarnation.address
        self.asked_s: float = -_ASK_AGAIN_S
        self.counts: collections.Counter[str] = collections.Counter()
        bus.subscribe(messages.Proposed, self.on_proposed)
        bus.subscribe(messages.Confirmed, self.on_confirmed)
        bus.subscribe(messages.Closed, self.on_closed)
        bus.subscribe(messages.RecordWanted, self.on_wanted)
        bus.subscribe(messages.RecordSent, self.on_record)

    def on_mark(
        self,
        address: names.PeerAddress,
        zone: names.AvailabilityZone,
        mark: membership_messages.ConfigMark,
    ) -> None:
        """Take what a peer knows from its heartbeat."""
        now_s = self.timers.now()
        if zone == self.view.zone:
            self.follower.last_contact_s = now_s
            self.follower.has_zone_peers = True
        if mark.row_version == 0 and self.follower.last_head_row is not None:
            return
        if self.follower.observe_version(mark.row_version, now_s):
            self.ask(address)

    def ask(self, address: names.PeerAddress) -> None:
        """Ask a peer for the head row, not too often."""
        now_s = self.timers.now()
        if now_s - self.asked_s < _ASK_AGAIN_S:
            return
        self.asked_s = now_s
        wanted = messages.RecordWanted(row_version=self.follower.row_version())
        self.bus.send(address, wanted)

    def on_wanted(
        self, peer: peers.Peer, wanted: messages.RecordWanted
    ) -> None:
        """Send the head row to a peer that has an older one."""
        known = self.follower.last_head_row
        if known is None or known.row_version <= wanted.row_version:
            return
        told = messages.RecordSent(
            row_version=known.row_version, body=record.encode(known.body)
        )
        self.bus.send(peer.peer_address, told)

    def on_record(self, _: peers.Peer, told: messages.RecordSent) -> None:
        """Take the head row of a peer."""
        if told.row_version > self.follower.row_version():
            self.learn(told.row_version, record.decode(told.body))

    def on_proposed(self, peer: peers.Peer, asked: messages.Proposed) -> None:
        """Take a proposal, confirm it, and ask others on request."""
        for address in asked.relay_to:
            relayed = messages.Proposed(
                row_version=asked.row_version,
                proposal=asked.proposal,
                origin=asked.origin,
            )
            self.bus.send(address, relayed)
        if not self.knows(asked):
            self.take(asked)
        if self.knows(asked):
            self.follower.last_confirmed_s = self.timers.now()
            vote = self.vote(asked.row_version, asked.proposal, asked.origin)
            self.bus.send(peer.peer_address, vote)
        elif self.follower.row_version() < asked.row_version:
            self.ask(peer.peer_address)

    def knows(self, asked: messages.Proposed) -> bool:
        """Return whether the proposal is the newest row known here."""
        known = self.follower.last_head_row
        return known is not None and known.row_version == asked.row_version

    def take(self, asked: messages.Proposed) -> None:
        """Apply a proposal to the version that it is based on."""
        known = self.follower.last_head_row
        if known is None or known.body.version != asked.proposal.base:
            return
        if known.row_version < asked.row_version:
            closed = record.abort(known.body)
            self.learn(
                asked.row_version, record.propose(closed, asked.proposal)
            )

    def vote(
        self,
        row_version: int,
        proposal: record.Proposal,
        origin: names.PeerAddress,
    ) -> messages.Confirmed:
        """Return the answer of this instance to a proposal it knows."""
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
        """Return why the open proposal may not be committed."""
        known = self.follower.last_head_row
        if known is None or known.body.proposal is None:
            return ''
        address = self.own_address
        if known.proposed is None:
            return f'{address} takes the document for invalid'
        removed = set(known.in_force.jobs) - set(known.proposed.jobs)
        used = sorted(removed & set(self.in_use()))
        if used:
            return f'jobs.{used[0]}: in use at {address}, not removed'
        return ''

    def on_confirmed(self, peer: peers.Peer, vote: messages.Confirmed) -> None:
        """Count a vote, or pass it on to the driver it is for."""
        if vote.origin != self.own_peer_address:
            self.bus.send(vote.origin, vote)
            return
        address = self.address_of(vote.epoch) or peer.peer_address
        for taken in self.on_vote:
            taken(address, vote)

    def address_of(self, epoch: names.Epoch) -> names.PeerAddress | None:
        """Return the peer address of an instance, if it is known."""
        member = self.view.members(self.timers.now()).get(epoch)
        return member.peer_address if member else None

    def on_closed(self, peer: peers.Peer, told: messages.Closed) -> None:
        """Take the outcome of a proposal."""
        known = self.follower.last_head_row
        if known is None or told.row_version <= known.row_version:
            return
        proposal = known.body.proposal
        if proposal is None or proposal.proposal_id != told.proposal_id:
            self.follower.observe_version(told.row_version, self.timers.now())
            self.ask(peer.peer_address)
            return
        step = record.commit if told.committed else record.abort
        self.learn(told.row_version, step(known.body))
