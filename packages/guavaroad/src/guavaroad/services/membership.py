"""Runs membership: sends its messages and tells who lives."""

import collections
from collections.abc import Callable
from typing import Any, Final

import loguru

from guavaroad.domain import identity, names
from guavaroad.domain.membership import (
    heartbeat_receiver,
    heartbeat_sender,
    timing,
    view,
)
from guavaroad.ports import peers, platform, timers
from guavaroad.services import membership_inbox

_LOG: Final = loguru.logger.bind(part='membership')
_MS: Final = 1000
# Between two looks at the view for changes, below the heartbeat period.
_LOOK_S: Final = 0.2
_FORGET_PERIOD_S: Final = 60

# The method `peers` hides the module inside the class.
Peer = peers.Peer
View = dict[names.Epoch, peers.PeerState]


class MembershipService:
    """The view of live entry instances, as the other parts see it."""

    def __init__(
        self,
        *,
        own: identity.Incarnation,
        peer_address: names.PeerAddress,
        bus: peers.PeerBus,
        timer_service: timers.TimerService,
        seeds: tuple[names.PeerAddress, ...],
    ) -> None:
        self.bus = bus
        self.timers = timer_service
        self.settings_seeds = seeds
        self.heartbeat_sources = heartbeat_sender.HeartbeatSources()
        self.view = view.View(
            own=view.LocalInstance(
                incarnation=own,
                peer_address=peer_address,
                started_ms=round(timer_service.wall() * _MS),
            )
        )
        self.sender = heartbeat_sender.HeartbeatSender(
            membership_view=self.view, sources=self.heartbeat_sources
        )
        self.sender.seeds = list(seeds)
        self.followers: list[Callable[[], object]] = []
        self.states: View = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.running: list[timers.Timer] = []
        self.inbox = membership_inbox.Inbox(
            hears=heartbeat_receiver.HeartbeatReceiver(
                membership_view=self.view, sender=self.sender
            ),
            now=self.now,
            send=self.send,
            look=self.look,
        )
        self.inbox.subscribe(bus)

    def start(self) -> None:
        """Greet the seeds now, then send heartbeats."""
        self.running = [
            self.timers.subscribe(timing.HEARTBEAT_PERIOD_S, self.tick),
            self.timers.subscribe(_LOOK_S, self.look),
            self.timers.subscribe(_FORGET_PERIOD_S, self.forget),
        ]
        self.tick()

    def stop(self) -> None:
        """Send no more."""
        for timer in self.running:
            timer.cancel()

    def leave(self) -> None:
        """Tell everybody at once that this instance is stopping."""
        self.send(self.sender.departure_messages(self.now()))

    def now(self) -> float:
        """Return the present time, with an own standstill excused."""
        now_s = self.timers.now()
        gap_s = self.view.discount_local_pause(now_s)
        if gap_s:
            _LOG.warning('this process stood still for {:.1f} s', gap_s)
        return now_s

    def peers(self) -> tuple[Peer, ...]:
        """Return every peer that is known and not forgotten."""
        members = self.view.members(self.now())
        return tuple(
            Peer(
                incarnation=member.incarnation,
                peer_address=member.peer_address,
                state=peers.PeerState(member.state.value),
            )
            for member in members.values()
        )

    def subscribe(self, changed: Callable[[], object]) -> None:
        """Call back after every change of the view."""
        self.followers.append(changed)

    def list_changed(self, listed: platform.InstanceList) -> None:
        """Take the addresses of the platform's list as seeds."""
        addresses = [entry.peer_address for entry in listed.entries]
        self.sender.seeds = list(
            dict.fromkeys([*addresses, *self.settings_seeds])
        )

    def tick(self) -> None:
        """Send the messages of one period."""
        self.send(self.sender.tick(self.now()))
        self.look()

    def look(self) -> None:
        """Tell the followers if the view changed."""
        now_s = self.now()
        states = {
            epoch: peers.PeerState(member.state.value)
            for epoch, member in self.view.members(now_s).items()
        }
        if states == self.states:
            return
        self.log_changes(states)
        self.states = states
        self.send(self.sender.changes(now_s))
        for changed in self.followers:
            changed()

    def log_changes(self, states: View) -> None:
        """Write a line for each instance whose state changed."""
        for epoch, state in states.items():
            if self.states.get(epoch) is not state:
                _LOG.info('instance {} is {}', epoch, state.value)

    def forget(self) -> None:
        """Close the ways to instances that have been dead for long."""
        now_s = self.now()
        gone = [
            zone_peer.peer_address
            for zone_peer in self.view.zone_peers.evict_dead(now_s)
        ]
        for zone in self.view.zones.values():
            gone.extend(
                record.peer_address for record in zone.evict_dead(now_s)
            )
        live = self.view.live_addresses(now_s)
        for address in set(gone) - live:
            self.bus.disconnect(address)

    def send(self, outgoing: list[heartbeat_sender.Outgoing]) -> None:
        """Hand messages to the bus."""
        for one in outgoing:
            self.counts[type(one.message).__name__] += 1
            self.bus.send(one.to, one.message)

    def describe(self) -> dict[str, Any]:
        """Return membership's part of the state dump."""
        return {
            'leaving': self.view.leaving,
            'alone_in_zone': self.view.is_isolated(self.now()),
            'peers': [
                {
                    'availability_zone': peer.incarnation.availability_zone,
                    'address': peer.incarnation.address,
                    'epoch': peer.incarnation.epoch,
                    'peer_address': peer.peer_address,
                    'state': peer.state.value,
                }
                for peer in self.peers()
            ],
            'messages_sent': dict(self.counts),
        }
