"""Slot leases: reports demand, applies grants, returns what others need."""

import dataclasses
from typing import Any, Final

from guavaroad.domain import names
from guavaroad.domain.scheduling import demand
from guavaroad.domain.slots import division, link, messages, table
from guavaroad.ports import peers, platform, timers
from guavaroad.services import allocation, dispatch

_FALLBACK_CHECKS: Final = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Periods of the leases.

    Attributes:
        tick_s: Time for which changes are collected before a report.
        lease_s: Time for which slots are held without a message from the
            allocator.
        idle_timeout_s: Time after which unused slots are returned.
        fallback_timeout_s: Time to wait for an allocator before a static
            share is used.
        idle_reserve: Fraction of an equal share that is kept while unused.
    """

    tick_s: float
    lease_s: float
    idle_timeout_s: float
    fallback_timeout_s: float
    idle_reserve: float


class SlotLeaseService:
    """Holds leased slots for the dispatcher."""

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        timer_service: timers.TimerService,
        links: allocation.AllocatorLinks,
        times: LeaseTimes,
        rebalances: bool,
    ) -> None:
        self.dispatcher = dispatcher
        self.slots = dispatcher.slots
        self.timers = timer_service
        self.links = links
        self.times = times
        self.rebalances = rebalances
        self.flush_scheduled = False
        self.draining = False
        self.listed_peers: set[names.PeerAddress] = set()
        links.on_orders.append(self.apply_grants)
        links.on_change.append(self.on_queues_changed)
        timer_service.subscribe(times.idle_timeout_s, self.return_idle)
        timer_service.subscribe(
            times.fallback_timeout_s / _FALLBACK_CHECKS, self.check_fallback
        )
        dispatcher.slot_holder = self

    def list_changed(self, instances: platform.InstanceList) -> None:
        """Apply the platform's list; slots held already are kept.

        Until an allocator has answered, an equal share is held.
        """
        listed = instances.upstreams
        self.listed_peers = {entry.peer_address for entry in instances.entries}
        position = self.links.position(self.listed_peers)
        equal = division.equal_shares(listed, *position)
        self.links.set_upstreams(listed)
        uses = []
        for listed_upstream in listed:
            current_use = self.slots.uses.get(listed_upstream.name)
            has_answered = self.links.link_to(
                listed_upstream.availability_zone
            ).has_answered()
            share = 0 if has_answered else equal[listed_upstream.name]
            uses.append(
                table.UpstreamUse(
                    upstream=listed_upstream,
                    share=current_use.share if current_use else share,
                )
            )
        self.dispatcher.set_upstreams(tuple(uses))
        set_equal_shares(self.slots, position)

    def slot_freed(self, use: table.UpstreamUse) -> None:
        """Return a freed slot if the allocator requested it, else keep it."""
        zone_link = self.links.link_to(use.upstream.availability_zone)
        pool = use.upstream.pool
        if not self.rebalances and self.demand(pool) is not None:
            return
        if use.closed or zone_link.consume_return_request(
            use.upstream.name, pool
        ):
            self.return_slots(use, 1)

    def return_slots(self, use: table.UpstreamUse, count: int) -> None:
        """Return slots of one upstream with the next report."""
        returned = min(count, use.share)
        if returned:
            self.slots.set_share(use, use.share - returned)
            zone_link = self.links.link_to(use.upstream.availability_zone)
            zone_link.return_slots(use.upstream.name, returned)
            self.on_queues_changed()

    def on_queues_changed(self) -> None:
        """Schedule a report, a tick later."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.timers.call_after(self.times.tick_s, self.flush)

    def demand(self, pool: names.PoolName) -> messages.PoolDemand | None:
        """Return the demand on a pool; none if there is none."""
        capacity = self.slots.pool(pool).capacity()
        return demand.demand_of(self.dispatcher.queue, pool, capacity)

    def flush(self) -> None:
        """Return slots that others wait for, and report to the allocators."""
        self.flush_scheduled = False
        demands = {}
        for pool in self.slots.pools:
            pool_demand = self.demand(pool)
            if pool_demand is None:
                self.return_requested(pool)
            else:
                demands[str(pool)] = pool_demand
        self.links.send_reports(demands, self.slots)

    def return_requested(self, pool: names.PoolName) -> None:
        """Return idle slots that other instances wait for."""
        idle = tuple(self.slots.pool(pool).open_uses.values())
        for use in idle:
            if self.draining:
                self.return_slots(use, use.free())
            zone_link = self.links.link_to(use.upstream.availability_zone)
            while use.free() and zone_link.consume_return_request(
                use.upstream.name, pool
            ):
                self.return_slots(use, 1)

    def return_idle(self) -> None:
        """Return slots unused for the idle timeout, except the reserve."""
        for pool in self.slots.pools.values():
            reserve = 0 if self.draining else self.times.idle_reserve
            surplus = pool.unused_since_last_read() - int(
                pool.equal_share * reserve
            )
            for use in tuple(pool.open_uses.values()):
                returned = max(0, min(surplus, use.free()))
                surplus -= returned
                self.return_slots(use, returned)

    def apply_grants(
        self, zone_link: link.ZoneLink, orders: messages.SlotOrders
    ) -> None:
        """Add the granted slots to this instance's shares."""
        for name, count in orders.granted.items():
            use = self.slots.uses.get(names.UpstreamName(name))
            if use is None:
                zone_link.return_slots(name, count)
            else:
                self.slots.set_share(use, use.share + count)
        if zone_link.fallback:
            zone_link.fallback = False
        self.dispatcher.schedule_dispatch()

    def check_fallback(self) -> None:
        """Use a static share of zones whose allocator does not answer."""
        now_s = self.timers.now()
        set_equal_shares(self.slots, self.links.position(self.listed_peers))
        for zone_link in self.links.by_zone.values():
            unanswered = zone_link.is_unanswered(
                now_s, self.times.fallback_timeout_s
            )
            if unanswered and not zone_link.fallback:
                zone_link.fallback = True
                self.use_static_share(zone_link.zone)
        self.on_queues_changed()

    def use_static_share(self, zone: names.AvailabilityZone) -> None:
        """Raise the share of each upstream of a zone to an equal share."""
        uses = tuple(self.slots.uses.values())
        listed = [use.upstream for use in uses]
        equal = division.equal_shares(
            listed, *self.links.position(self.listed_peers)
        )
        for use in uses:
            share = equal[use.upstream.name]
            if use.upstream.availability_zone == zone and use.share < share:
                self.slots.set_share(use, share)
        self.dispatcher.schedule_dispatch()

    def drain(self) -> None:
        """Return every slot as its task ends; called by a planned stop."""
        self.draining = True
        self.on_queues_changed()

    def describe(self) -> dict[str, Any]:
        """Return links and counters for the state dump."""
        return {
            zone: {
                'allocator': zone_link.allocator,
                'fallback': zone_link.fallback,
                'counters': dataclasses.asdict(zone_link.counters),
            }
            for zone, zone_link in self.links.by_zone.items()
        } | {'allocating': self.links.describe()}


def set_equal_shares(slots: table.SlotTable, position: tuple[int, int]) -> None:
    """Set each pool's equal share for this instance.

    Args:
        slots: Uses of the upstreams.
        position: Index of this instance among all, and their count.
    """
    listed = [use.upstream for use in slots.uses.values()]
    equal = division.equal_shares(listed, *position)
    for pool in slots.pools.values():
        pool.equal_share = 0
    for listed_upstream in listed:
        slots.pool(listed_upstream.pool).equal_share += equal[
            listed_upstream.name
        ]


class LeavingNotifier:
    """Notifies the peers that an upstream is leaving."""

    def __init__(
        self, *, bus: peers.PeerBus, members: peers.MembershipPort
    ) -> None:
        self.bus = bus
        self.members = members

    def notify_peers(self, name: names.UpstreamName, address: str) -> None:
        """Forward an upstream's notice to every peer."""
        notice = messages.LeavingNotice(upstream=name, address=address)
        for peer in self.members.peers():
            self.bus.send(peer.peer_address, notice)
