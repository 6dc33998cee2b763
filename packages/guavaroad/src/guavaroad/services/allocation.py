"""Links to the slot allocators of all zones, and the own zone's allocator."""

from collections.abc import Callable, Iterable
from typing import Any, Final

import loguru
import msgspec

from guavaroad.domain import names
from guavaroad.domain.slots import (
    allocator,
    election,
    link,
    messages,
    table,
    upstream,
)
from guavaroad.ports import peers, timers

_LOG: Final = loguru.logger.bind(part='slots')
_CHECKS_PER_LEASE: Final = 6

SendMessage = Callable[[names.PeerAddress, msgspec.Struct], None]
OrdersCallback = Callable[[link.ZoneLink, messages.SlotOrders], object]


class AllocatorLinks:
    """Links to the slot allocators of all availability zones."""

    def __init__(
        self,
        *,
        own: peers.Peer,
        nearest_zones: tuple[names.AvailabilityZone, ...],
        bus: peers.PeerBus,
        members: peers.MembershipPort,
        timer_service: timers.TimerService,
        zone_allocator: 'ZoneAllocator',
    ) -> None:
        self.own = own
        self.nearest_zones = nearest_zones
        self.bus = bus
        self.members = members
        self.timers = timer_service
        self.zone_allocator = zone_allocator
        self.by_zone: dict[names.AvailabilityZone, link.ZoneLink] = {}
        self.on_orders: list[OrdersCallback] = []
        self.on_change: list[Callable[[], object]] = []
        zone_allocator.deliver = self.deliver
        bus.subscribe(messages.SlotOrders, self.receive_orders)
        bus.subscribe(messages.SlotReport, zone_allocator.receive_report)
        members.subscribe(self.on_members_changed)

    def link_to(self, zone: names.AvailabilityZone) -> link.ZoneLink:
        """Return the link to a zone's allocator; create it if missing."""
        zone_link = self.by_zone.get(zone)
        if zone_link is None:
            zone_link = link.ZoneLink(
                zone=zone,
                lease_s=self.zone_allocator.lease_s,
                now_s=self.timers.now(),
            )
            self.by_zone[zone] = zone_link
        return zone_link

    def set_upstreams(self, listed: tuple[upstream.Upstream, ...]) -> None:
        """Apply the platform's list of upstreams."""
        for listed_upstream in listed:
            self.link_to(listed_upstream.availability_zone)
        self.zone_allocator.set_upstreams(listed)
        self.on_members_changed()

    def live_addresses(
        self, zone: names.AvailabilityZone
    ) -> tuple[names.PeerAddress, ...]:
        """Return the peer addresses of a zone's live instances."""
        return tuple(
            peer.peer_address
            for peer in (self.own, *self.members.peers())
            if peer.incarnation.availability_zone == zone
            and peer.state in _ALLOCATOR_STATES
        )

    def position(self, listed: set[names.PeerAddress]) -> tuple[int, int]:
        """Return this instance's index among all instances, and their count.

        Args:
            listed: Peer addresses of the platform's list.  They count as
                well, because the membership view may be incomplete.

        Returns:
            Index from 0 by peer address, and the count with this instance.
        """
        ranked = sorted(
            listed | {peer.peer_address for peer in self.self_and_live_peers()}
        )
        return ranked.index(self.own.peer_address), len(ranked)

    def on_members_changed(self) -> None:
        """Elect each zone's allocator from the present membership view."""
        now_s = self.timers.now()
        for zone, zone_link in self.by_zone.items():
            chosen = election.allocator_of(zone, self.live_addresses(zone))
            if chosen != zone_link.allocator:
                zone_link.set_allocator(chosen, now_s)
            if zone == self.own.incarnation.availability_zone:
                self.zone_allocator.set_allocating(
                    chosen == self.own.peer_address
                )
        self.zone_allocator.release_departed(
            {peer.peer_address for peer in self.self_and_live_peers()}
        )
        for callback in self.on_change:
            callback()

    def self_and_live_peers(self) -> Iterable[peers.Peer]:
        """Yield this instance and its peers that are not dead."""
        yield self.own
        for peer in self.members.peers():
            if peer.state is not peers.PeerState.DEAD:
                yield peer

    def send_reports(
        self,
        demands: dict[str, messages.PoolDemand],
        slots: table.SlotTable,
    ) -> None:
        """Report demand to the zones, nearest first.

        A farther zone is asked only for what the nearer ones lack.
        """
        remaining = demands
        for zone_link in self.nearest_first():
            self.send_report(zone_link, remaining, slots)
            if zone_link.allocator is not None:
                remaining = remaining_demands(remaining, zone_link.shortages)

    def nearest_first(self) -> list[link.ZoneLink]:
        """Return the links by distance, the own zone's first."""
        own = self.own.incarnation.availability_zone
        order = (own, *self.nearest_zones)
        return sorted(
            self.by_zone.values(),
            key=lambda zone_link: (
                order.index(zone_link.zone)
                if zone_link.zone in order
                else len(order),
                election.distance(own, zone_link.zone),
            ),
        )

    def send_report(
        self,
        zone_link: link.ZoneLink,
        demands: dict[str, messages.PoolDemand],
        slots: table.SlotTable,
    ) -> None:
        """Send a report to a zone's allocator if one is due."""
        if zone_link.allocator is None:
            return
        uses = slots.uses_in_zone(zone_link.zone)
        report = zone_link.report(
            demands,
            {use.upstream.name: use.share for use in uses if use.share},
            tuple(use.upstream.name for use in uses if use.closed),
            self.timers.now(),
        )
        if report is not None:
            self.deliver(zone_link.allocator, report)

    def deliver(self, to: names.PeerAddress, message: msgspec.Struct) -> None:
        """Send a message; handle one to this instance directly."""
        if to != self.own.peer_address:
            self.bus.send(to, message)
            return
        match message:
            case messages.SlotReport():
                self.zone_allocator.receive_report(self.own, message)
            case messages.SlotOrders():
                self.receive_orders(self.own, message)

    def receive_orders(
        self, sender: peers.Peer, orders: messages.SlotOrders
    ) -> None:
        """Apply orders of the zone's allocator; drop those of others."""
        zone_link = self.by_zone.get(names.AvailabilityZone(orders.zone))
        if zone_link is None or zone_link.allocator != sender.peer_address:
            return
        if zone_link.receive_orders(orders, self.timers.now()):
            for callback in self.on_orders:
                callback(zone_link, orders)

    def describe(self) -> dict[str, Any]:
        """Return what this instance allocates, for the state dump."""
        return self.zone_allocator.describe()


class ZoneAllocator:
    """Allocates the slots of the own zone while this instance is elected.

    Attributes:
        state: State of the allocation; none while another instance allocates.
    """

    def __init__(
        self,
        *,
        zone: names.AvailabilityZone,
        timer_service: timers.TimerService,
        tick_s: float,
        lease_s: float,
        rebalances: bool,
    ) -> None:
        self.zone = zone
        self.timers = timer_service
        self.tick_s = tick_s
        self.lease_s = lease_s
        self.rebalances = rebalances
        self.state: allocator.Allocator | None = None
        self.listed: tuple[upstream.Upstream, ...] = ()
        self.epochs: dict[names.PeerAddress, names.Epoch] = {}
        self.decision_scheduled = False
        self.orders_sent = 0
        self.deliver: SendMessage | None = None
        timer_service.subscribe(lease_s / _CHECKS_PER_LEASE, self.decide)

    def set_allocating(self, allocating: bool) -> None:
        """Start or stop allocating."""
        if allocating == (self.state is not None):
            return
        _LOG.info('allocating the slots of {}: {}', self.zone, allocating)
        self.state = None
        if allocating:
            self.state = allocator.Allocator(
                zone=self.zone,
                lease_s=self.lease_s,
                rebalances=self.rebalances,
                now_s=self.timers.now(),
            )
            self.state.set_upstreams(self.listed)

    def set_upstreams(self, listed: tuple[upstream.Upstream, ...]) -> None:
        """Apply the platform's list of upstreams."""
        self.listed = tuple(
            listed_upstream
            for listed_upstream in listed
            if listed_upstream.availability_zone == self.zone
        )
        if self.state is not None:
            self.state.set_upstreams(self.listed)
            self.schedule_decision()

    def release_departed(self, live: set[names.PeerAddress]) -> None:
        """Release the slots of instances that have left."""
        if self.state is not None:
            for address in tuple(self.state.holders):
                if address not in live:
                    self.state.remove_holder(address)
            self.schedule_decision()

    def receive_report(
        self, sender: peers.Peer, report: messages.SlotReport
    ) -> None:
        """Apply the report of an instance that holds slots."""
        if self.state is None or report.zone != self.zone:
            return
        address = sender.peer_address
        epoch = sender.incarnation.epoch
        if self.epochs.get(address) != epoch:
            self.epochs[address] = epoch
            self.state.remove_holder(address)
        self.state.receive_report(address, report, self.timers.now())
        self.schedule_decision()

    def schedule_decision(self) -> None:
        """Schedule one decision, a tick later, for all reports until then."""
        if not self.decision_scheduled:
            self.decision_scheduled = True
            self.timers.call_after(self.tick_s, self.decide)

    def decide(self) -> None:
        """Allocate, and send the orders that have changed."""
        self.decision_scheduled = False
        if self.state is None:
            return
        for outgoing in self.state.allocate(self.timers.now()):
            self.orders_sent += 1
            if self.deliver is not None:
                self.deliver(outgoing.to, outgoing.orders)

    def describe(self) -> dict[str, Any]:
        """Return the holders, for the state dump."""
        if self.state is None:
            return {}
        return {
            'zone': self.zone,
            'orders_sent': self.orders_sent,
            'holders': {
                address: sum(holder.held.values())
                for address, holder in self.state.holders.items()
            },
        }


_ALLOCATOR_STATES: Final = (peers.PeerState.ALIVE, peers.PeerState.SUSPECT)


def remaining_demands(
    demands: dict[str, messages.PoolDemand], shortfall: dict[str, int]
) -> dict[str, messages.PoolDemand]:
    """Return the demands that a nearer zone could not meet.

    Args:
        demands: Demands on the nearer zone, by pool.
        shortfall: Slots that the nearer zone lacks, by pool.

    Returns:
        The remaining demands, by pool.
    """
    return {
        pool: msgspec.structs.replace(
            demand, waiting=min(demand.waiting, shortfall[pool])
        )
        for pool, demand in demands.items()
        if shortfall.get(pool)
    }
