"""Membership of the fleet: exchanges heartbeats, reports live instances."""

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
# Interval between checks of the view; shorter than the heartbeat period.
_VIEW_CHECK_INTERVAL_S: Final = 0.2
_EVICTION_INTERVAL_S: Final = 60

# The method `peers` hides the module inside the class.
Peer = peers.Peer
States = dict[names.Epoch, peers.PeerState]


class MembershipService:
    """Membership of this instance, and its view of the entry instances."""

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
        self.subscribers: list[Callable[[], object]] = []
        self.states: States = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.active_timers: list[timers.Timer] = []
        self.message_handlers = membership_inbox.MessageHandlers(
            receiver=heartbeat_receiver.HeartbeatReceiver(
                membership_view=self.view, sender=self.sender
            ),
            now=self.now,
            send=self.send,
            check_view=self.check_view,
        )
        self.message_handlers.subscribe(bus)

    def start(self) -> None:
        """Contact the seeds now, then send heartbeats periodically."""
        self.active_timers = [
            self.timers.subscribe(timing.HEARTBEAT_PERIOD_S, self.tick),
            self.timers.subscribe(_VIEW_CHECK_INTERVAL_S, self.check_view),
            self.timers.subscribe(_EVICTION_INTERVAL_S, self.evict_dead),
        ]
        self.tick()

    def stop(self) -> None:
        """Stop sending."""
        for timer in self.active_timers:
            timer.cancel()

    def leave(self) -> None:
        """Notify all peers that this instance is stopping."""
        self.send(self.sender.departure_messages(self.now()))

    def now(self) -> float:
        """Return the current time; discount a pause of this process."""
        now_s = self.timers.now()
        pause_s = self.view.discount_local_pause(now_s)
        if pause_s:
            _LOG.warning('this process was paused for {:.1f} s', pause_s)
        return now_s

    def peers(self) -> tuple[Peer, ...]:
        """Return every peer in the view."""
        members = self.view.members(self.now())
        return tuple(
            Peer(
                incarnation=member.incarnation,
                peer_address=member.peer_address,
                state=peers.PeerState(member.state.value),
            )
            for member in members.values()
        )

    def subscribe(self, callback: Callable[[], object]) -> None:
        """Call a function after every change of the view."""
        self.subscribers.append(callback)

    def list_changed(self, listed: platform.InstanceList) -> None:
        """Use the addresses of the platform's list as seeds."""
        addresses = [entry.peer_address for entry in listed.entries]
        self.sender.seeds = list(
            dict.fromkeys([*addresses, *self.settings_seeds])
        )

    def tick(self) -> None:
        """Send the messages of one period."""
        self.send(self.sender.tick(self.now()))
        self.check_view()

    def check_view(self) -> None:
        """Call the subscribers if the view has changed."""
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
        for callback in self.subscribers:
            callback()

    def log_changes(self, states: States) -> None:
        """Log each instance whose state has changed."""
        for epoch, state in states.items():
            if self.states.get(epoch) is not state:
                _LOG.info('instance {} is {}', epoch, state.value)

    def evict_dead(self) -> None:
        """Evict long-dead instances and close the connections to them."""
        now_s = self.now()
        evicted = [
            zone_peer.peer_address
            for zone_peer in self.view.zone_peers.evict_dead(now_s)
        ]
        for zone in self.view.zones.values():
            evicted.extend(
                record.peer_address for record in zone.evict_dead(now_s)
            )
        live = self.view.live_addresses(now_s)
        for address in set(evicted) - live:
            self.bus.disconnect(address)

    def send(self, outgoing: list[heartbeat_sender.Outgoing]) -> None:
        """Send messages over the bus."""
        for item in outgoing:
            self.counts[type(item.message).__name__] += 1
            self.bus.send(item.to, item.message)

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
