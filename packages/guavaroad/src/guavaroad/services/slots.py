"""Leases of slots: tells demand, takes grants, gives back what others need."""

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
        tick_s: Changes are collected this long before they are told.
        lease_s: Holdings last this long without a word of the allocator.
        idle_timeout_s: Slots that nobody used for so long go back.
        fallback_timeout_s: Wait for an allocator before a static share is used.
        idle_reserve: Part of an equal share that is kept though idle.
    """

    tick_s: float
    lease_s: float
    idle_timeout_s: float
    fallback_timeout_s: float
    idle_reserve: float


class SlotLeaseService:
    """Holder of slots; the dispatcher's keeper."""

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        timer_service: timers.TimerService,
        links: allocation.AllocatorLinks,
        times: LeaseTimes,
        moves: bool,
    ) -> None:
        self.dispatcher = dispatcher
        self.slots = dispatcher.slots
        self.timers = timer_service
        self.links = links
        self.times = times
        self.moves = moves
        self.flush_due = False
        self.draining = False
        self.listed_peers: set[names.PeerAddress] = set()
        links.on_orders.append(self.take_orders)
        links.on_change.append(self.pumped)
        timer_service.subscribe(times.idle_timeout_s, self.return_idle)
        timer_service.subscribe(
            times.fallback_timeout_s / _FALLBACK_CHECKS, self.check_fallback
        )
        dispatcher.keeper = self

    def list_changed(self, instances: platform.InstanceList) -> None:
        """Take the platform's list; what is held stays held.

        Until an allocator has answered, an equal share is held.
        """
        listed = instances.upstreams
        self.listed_peers = {one.peer_address for one in instances.entries}
        place = self.links.place(self.listed_peers)
        equal = division.equal_shares(listed, *place)
        self.links.list_upstreams(listed)
        uses = []
        for known in listed:
            held = self.slots.uses.get(known.name)
            contacted = self.links.link_to(
                known.availability_zone
            ).has_answered()
            share = 0 if contacted else equal[known.name]
            uses.append(
                table.UpstreamUse(
                    upstream=known, share=held.share if held else share
                )
            )
        self.dispatcher.set_upstreams(tuple(uses))
        entitle(self.slots, place)

    def slot_freed(self, use: table.UpstreamUse) -> None:
        """Give a freed slot back if it was asked for, else keep it."""
        known = self.links.link_to(use.upstream.availability_zone)
        pool = use.upstream.pool
        if not self.moves and self.demand(pool) is not None:
            return
        if use.closed or known.consume_return_request(use.upstream.name, pool):
            self.give_back(use, 1)

    def give_back(self, use: table.UpstreamUse, count: int) -> None:
        """Give slots of one upstream back with the next report."""
        given = min(count, use.share)
        if given:
            self.slots.set_share(use, use.share - given)
            known = self.links.link_to(use.upstream.availability_zone)
            known.return_slots(use.upstream.name, given)
            self.pumped()

    def pumped(self) -> None:
        """Tell what changed, a tick later."""
        if not self.flush_due:
            self.flush_due = True
            self.timers.call_after(self.times.tick_s, self.flush)

    def demand(self, pool: names.PoolName) -> messages.PoolDemand | None:
        """Return what is waited for in a pool."""
        capacity = self.slots.pool(pool).capacity()
        return demand.demand_of(self.dispatcher.queue, pool, capacity)

    def flush(self) -> None:
        """Give back what others wait for, and report to the allocators."""
        self.flush_due = False
        demands = {}
        for pool in self.slots.pools:
            asked = self.demand(pool)
            if asked is None:
                self.return_claimed(pool)
            else:
                demands[str(pool)] = asked
        self.links.report(demands, self.slots)

    def return_claimed(self, pool: names.PoolName) -> None:
        """Give back idle slots that other instances wait for."""
        idle = tuple(self.slots.pool(pool).open_uses.values())
        for use in idle:
            if self.draining:
                self.give_back(use, use.free())
            known = self.links.link_to(use.upstream.availability_zone)
            while use.free() and known.consume_return_request(
                use.upstream.name, pool
            ):
                self.give_back(use, 1)

    def return_idle(self) -> None:
        """Give back what nobody used for the linger time, but a stock."""
        for pool in self.slots.pools.values():
            kept = 0 if self.draining else self.times.idle_reserve
            surplus = pool.unused_since_last_read() - int(
                pool.equal_share * kept
            )
            for use in tuple(pool.open_uses.values()):
                given = max(0, min(surplus, use.free()))
                surplus -= given
                self.give_back(use, given)

    def take_orders(
        self, known: link.ZoneLink, orders: messages.SlotOrders
    ) -> None:
        """Fill the slots that were granted."""
        for name, count in orders.granted.items():
            use = self.slots.uses.get(names.UpstreamName(name))
            if use is None:
                known.return_slots(name, count)
            else:
                self.slots.set_share(use, use.share + count)
        if known.fallback:
            known.fallback = False
        self.dispatcher.schedule_pump()

    def check_fallback(self) -> None:
        """Use a static share of zones whose allocator does not answer."""
        now_s = self.timers.now()
        entitle(self.slots, self.links.place(self.listed_peers))
        for known in self.links.by_zone.values():
            silent = known.is_unanswered(now_s, self.times.fallback_timeout_s)
            if silent and not known.fallback:
                known.fallback = True
                self.take_static_share(known.zone)
        self.pumped()

    def take_static_share(self, zone: names.AvailabilityZone) -> None:
        """Fill at least an equal share of each upstream of a zone."""
        uses = tuple(self.slots.uses.values())
        listed = [use.upstream for use in uses]
        equal = division.equal_shares(
            listed, *self.links.place(self.listed_peers)
        )
        for use in uses:
            share = equal[use.upstream.name]
            if use.upstream.availability_zone == zone and use.share < share:
                self.slots.set_share(use, share)
        self.dispatcher.schedule_pump()

    def drain(self) -> None:
        """Give back every slot as its task ends; a planned stop calls this."""
        self.draining = True
        self.pumped()

    def describe(self) -> dict[str, Any]:
        """Return links and counters for the state dump."""
        return {
            zone: {
                'allocator': known.allocator,
                'fallback': known.fallback,
                'counters': dataclasses.asdict(known.counters),
            }
            for zone, known in self.links.by_zone.items()
        } | {'allocating': self.links.describe()}


def entitle(slots: table.SlotTable, place: tuple[int, int]) -> None:
    """Count what an equal division would give this instance.

    Args:
        slots: Uses of the upstreams.
        place: Index of this instance among all, and their count.
    """
    listed = [use.upstream for use in slots.uses.values()]
    equal = division.equal_shares(listed, *place)
    for pool in slots.pools.values():
        pool.equal_share = 0
    for known in listed:
        slots.pool(known.pool).equal_share += equal[known.name]


class LeavingNotifier:
    """Tells every peer that an upstream leaves."""

    def __init__(
        self, *, bus: peers.PeerBus, members: peers.MembershipPort
    ) -> None:
        self.bus = bus
        self.members = members

    def notify_peers(self, name: names.UpstreamName, address: str) -> None:
        """Pass on the word of an upstream."""
        notice = messages.LeavingNotice(upstream=name, address=address)
        for peer in self.members.peers():
            self.bus.send(peer.peer_address, notice)
