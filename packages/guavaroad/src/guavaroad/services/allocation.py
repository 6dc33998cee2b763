"""Finds the allocators of slots, and is one where this instance is chosen."""

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

Deliver = Callable[[names.PeerAddress, msgspec.Struct], None]
OrdersFollower = Callable[[link.ZoneLink, messages.SlotOrders], object]


class AllocatorLinks:
    """Links to the allocators of all zones, the nearest zone first."""

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
        self.on_orders: list[OrdersFollower] = []
        self.on_change: list[Callable[[], object]] = []
        zone_allocator.deliver = self.deliver
        bus.subscribe(messages.SlotOrders, self.orders_came)
        bus.subscribe(messages.SlotReport, zone_allocator.report_came)
        members.subscribe(self.members_changed)

    def link_to(self, zone: names.AvailabilityZone) -> link.ZoneLink:
        """Return the link to a zone's allocator."""
        known = self.by_zone.get(zone)
        if known is None:
            known = link.ZoneLink(
                zone=zone,
                lease_s=self.zone_allocator.lease_s,
                now_s=self.timers.now(),
            )
            self.by_zone[zone] = known
        return known

    def list_upstreams(self, listed: tuple[upstream.Upstream, ...]) -> None:
        """Take the platform's list."""
        for known in listed:
            self.link_to(known.availability_zone)
        self.zone_allocator.list_upstreams(listed)
        self.members_changed()

    def live(
        self, zone: names.AvailabilityZone
    ) -> tuple[names.PeerAddress, ...]:
        """Return the peer addresses of a zone's live instances."""
        return tuple(
            peer.peer_address
            for peer in (self.own, *self.members.peers())
            if peer.incarnation.availability_zone == zone
            and peer.state in _MAY_ALLOCATE
        )

    def place(self, listed: set[names.PeerAddress]) -> tuple[int, int]:
        """Return this instance's index among all, and their count.

        Args:
            listed: Peer addresses of the platform's list, which counts while
                the view is not complete yet.

        Returns:
            Index from 0, and the count with this instance.
        """
        ranked = sorted(listed | {one.peer_address for one in self.everyone()})
        return ranked.index(self.own.peer_address), len(ranked)

    def members_changed(self) -> None:
        """Turn to the allocators that the present view names."""
        now_s = self.timers.now()
        for zone, known in self.by_zone.items():
            chosen = election.allocator_of(zone, self.live(zone))
            if chosen != known.allocator:
                known.set_allocator(chosen, now_s)
            if zone == self.own.incarnation.availability_zone:
                self.zone_allocator.elect(chosen == self.own.peer_address)
        self.zone_allocator.keep({one.peer_address for one in self.everyone()})
        for changed in self.on_change:
            changed()

    def everyone(self) -> Iterable[peers.Peer]:
        """Return this instance and its peers that may live."""
        yield self.own
        for peer in self.members.peers():
            if peer.state is not peers.PeerState.DEAD:
                yield peer

    def report(
        self,
        demands: dict[str, messages.PoolDemand],
        slots: table.SlotTable,
    ) -> None:
        """Report to each zone; ask a farther one for what is short."""
        rest = demands
        for known in self.nearest_first():
            self.report_to(known, rest, slots)
            if known.allocator is not None:
                rest = still_short(rest, known.short)

    def nearest_first(self) -> list[link.ZoneLink]:
        """Return the links, that of the own zone first."""
        own = self.own.incarnation.availability_zone
        order = (own, *self.nearest_zones)
        return sorted(
            self.by_zone.values(),
            key=lambda known: (
                order.index(known.zone) if known.zone in order else len(order),
                election.distance(own, known.zone),
            ),
        )

    def report_to(
        self,
        known: link.ZoneLink,
        demands: dict[str, messages.PoolDemand],
        slots: table.SlotTable,
    ) -> None:
        """Send a report to the allocator of a zone, if it tells news."""
        if known.allocator is None:
            return
        zone_uses = slots.uses_in_zone(known.zone)
        report = known.report(
            demands,
            {use.upstream.name: use.share for use in zone_uses if use.share},
            tuple(use.upstream.name for use in zone_uses if use.closed),
            self.timers.now(),
        )
        if report is not None:
            self.deliver(known.allocator, report)

    def deliver(self, to: names.PeerAddress, message: msgspec.Struct) -> None:
        """Send a message; one to this instance does not leave it."""
        if to != self.own.peer_address:
            self.bus.send(to, message)
            return
        match message:
            case messages.SlotReport():
                self.zone_allocator.report_came(self.own, message)
            case messages.SlotOrders():
                self.orders_came(self.own, message)

    def orders_came(
        self, sender: peers.Peer, orders: messages.SlotOrders
    ) -> None:
        """Take orders of the zone's allocator; others are dropped."""
        known = self.by_zone.get(names.AvailabilityZone(orders.zone))
        if known is None or known.allocator != sender.peer_address:
            return
        if known.receive_orders(orders, self.timers.now()):
            for follower in self.on_orders:
                follower(known, orders)

    def describe(self) -> dict[str, Any]:
        """Return what this instance allocates, for the state dump."""
        return self.zone_allocator.describe()


class ZoneAllocator:
    """The allocator of the own zone, while this instance is chosen."""

    def __init__(
        self,
        *,
        zone: names.AvailabilityZone,
        timer_service: timers.TimerService,
        tick_s: float,
        lease_s: float,
        moves: bool,
    ) -> None:
        self.zone = zone
        self.timers = timer_service
        self.tick_s = tick_s
        self.lease_s = lease_s
        self.moves = moves
        self.state: allocator.Allocator | None = None
        self.listed: tuple[upstream.Upstream, ...] = ()
        self.epochs: dict[names.PeerAddress, names.Epoch] = {}
        self.decide_due = False
        self.orders_sent = 0
        self.deliver: Deliver | None = None
        timer_service.subscribe(lease_s / _CHECKS_PER_LEASE, self.decide)

    def elect(self, chosen: bool) -> None:
        """Begin or end to allocate."""
        if chosen == (self.state is not None):
            return
        _LOG.info('allocates {}: {}', self.zone, chosen)
        self.state = None
        if chosen:
            self.state = allocator.Allocator(
                zone=self.zone,
                lease_s=self.lease_s,
                rebalances=self.moves,
                now_s=self.timers.now(),
            )
            self.state.set_upstreams(self.listed)

    def list_upstreams(self, listed: tuple[upstream.Upstream, ...]) -> None:
        """Take the platform's list."""
        self.listed = tuple(
            known for known in listed if known.availability_zone == self.zone
        )
        if self.state is not None:
            self.state.set_upstreams(self.listed)
            self.schedule()

    def keep(self, live: set[names.PeerAddress]) -> None:
        """Free the slots of holders that are gone."""
        if self.state is not None:
            for address in tuple(self.state.holders):
                if address not in live:
                    self.state.remove_holder(address)
            self.schedule()

    def report_came(
        self, sender: peers.Peer, report: messages.SlotReport
    ) -> None:
        """Take the report of a holder."""
        if self.state is None or report.zone != self.zone:
            return
        address = sender.peer_address
        epoch = sender.incarnation.epoch
        if self.epochs.get(address) != epoch:
            self.epochs[address] = epoch
            self.state.remove_holder(address)
        self.state.receive_report(address, report, self.timers.now())
        self.schedule()

    def schedule(self) -> None:
        """Decide a tick later, once for all reports that come till then."""
        if not self.decide_due:
            self.decide_due = True
            self.timers.call_after(self.tick_s, self.decide)

    def decide(self) -> None:
        """Send the orders that say something new."""
        self.decide_due = False
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
                address: sum(known.held.values())
                for address, known in self.state.holders.items()
            },
        }


_MAY_ALLOCATE: Final = (peers.PeerState.ALIVE, peers.PeerState.SUSPECT)


def still_short(
    demands: dict[str, messages.PoolDemand], short: dict[str, int]
) -> dict[str, messages.PoolDemand]:
    """Return what farther zones are asked for.

    Args:
        demands: What the nearer zone was asked for, by pool.
        short: Slots of that which the nearer zone has not.

    Returns:
        The rest of each demand.
    """
    return {
        pool: msgspec.structs.replace(
            asked, waiting=min(asked.waiting, short[pool])
        )
        for pool, asked in demands.items()
        if short.get(pool)
    }
