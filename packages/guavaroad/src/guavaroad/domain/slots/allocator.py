"""Allocator that grants the slots of one availability zone to instances."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.slots import (
    free_slots,
    lease_holder,
    messages,
    precedence,
    upstream,
)

_MAX_GRANTS_PER_POOL: Final = 2000
_REPLIES_PER_LEASE: Final = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """Orders to send to one holder.

    Attributes:
        to: Peer address of the holder.
        orders: The orders.
    """

    to: names.PeerAddress
    orders: messages.SlotOrders


class Allocator:
    """Grants the slots of one zone to the instances that wait for them.

    Attributes:
        zone: The availability zone.
        lease_s: Seconds after its last report that a holder's slots expire.
        rebalances: Whether holders that have demand of their own also yield
            freed slots to less served jobs of other instances.
        grants_from_s: End of the grace period, monotonic seconds.  Until then
            holders may still use slots granted by the previous allocator, so
            that only returned slots are granted.
        holders: Instances that reported, by peer address.
        slots: Slots of the zone's upstreams and how many of them are held.
    """

    def __init__(
        self,
        *,
        zone: names.AvailabilityZone,
        lease_s: float,
        rebalances: bool,
        now_s: float,
    ) -> None:
        self.zone = zone
        self.lease_s = lease_s
        self.rebalances = rebalances
        self.grants_from_s = now_s + lease_s
        self.holders: dict[names.PeerAddress, lease_holder.LeaseHolder] = {}
        self.slots = free_slots.FreeSlots()

    def set_upstreams(self, listed: tuple[upstream.Upstream, ...]) -> None:
        """Replace the zone's upstreams; leaving ones are not granted."""
        self.slots.set_upstreams(listed)

    def receive_report(
        self,
        sender: names.PeerAddress,
        report: messages.SlotReport,
        now_s: float,
    ) -> None:
        """Apply the report of a holder, unless it is out of order.

        Args:
            sender: Peer address of the holder.
            report: The report.
            now_s: Monotonic time in seconds.
        """
        holder = self.holders.get(sender)
        if holder is None:
            holder = lease_holder.LeaseHolder(
                address=sender, last_report_s=now_s
            )
            self.holders[sender] = holder
        if report.sequence <= holder.report_sequence:
            return
        self.slots.record_returned(report.returned)
        self.slots.change(holder.held, -1)
        holder.receive_report(report, now_s)
        holder.reply_due |= self.is_reply_due(holder, report, now_s)
        self.slots.change(holder.held, 1)

    def is_reply_due(
        self,
        holder: lease_holder.LeaseHolder,
        report: messages.SlotReport,
        now_s: float,
    ) -> bool:
        """Return whether a report needs a reply even without new orders.

        A reply shows the holder that the allocator is alive, and repeats the
        request to yield slots after the holder has returned some.

        Args:
            holder: Sender of the report.
            report: The report.
            now_s: Monotonic time in seconds.

        Returns:
            Whether to reply.
        """
        has_yielded = bool(
            report.returned
            and holder.last_orders
            and holder.last_orders.yield_requests
        )
        return (
            has_yielded
            or now_s - holder.orders_sent_s > self.lease_s / _REPLIES_PER_LEASE
        )

    def remove_holder(self, sender: names.PeerAddress) -> None:
        """Remove a holder and free its slots."""
        holder = self.holders.pop(sender, None)
        if holder is not None:
            self.slots.change(holder.held, -1)

    def allocate(self, now_s: float) -> tuple[Outgoing, ...]:
        """Expire leases, grant free slots and return the orders to send.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            At most one message for each holder.
        """
        expired = [
            address
            for address, holder in self.holders.items()
            if now_s - holder.last_report_s > self.lease_s
        ]
        for address in expired:
            self.remove_holder(address)
        if now_s >= self.grants_from_s:
            self.slots.in_grace_period = False
        for pool in self.slots.pools():
            self.grant_pool(pool)
        return tuple(self.new_orders(now_s))

    def grant_pool(self, pool: str) -> None:
        """Grant free slots of a pool, each to the least served demand."""
        skipped: set[names.PeerAddress] = set()
        for _ in range(_MAX_GRANTS_PER_POOL):
            holder = precedence.least_served(self.waiting(pool, skipped), pool)
            if holder is None:
                return
            upstream_name = self.slots.choose(pool, holder.refused)
            if upstream_name is None:
                skipped.add(holder.address)
            else:
                self.slots.grant(upstream_name)
                holder.grant(upstream_name, pool)

    def waiting(
        self, pool: str, skipped: set[names.PeerAddress]
    ) -> list[lease_holder.LeaseHolder]:
        """Return the holders that wait for slots of a pool.

        Args:
            pool: The pool.
            skipped: Peer addresses of holders to leave out.

        Returns:
            The holders.
        """
        return [
            holder
            for holder in self.holders.values()
            if pool in holder.demands and holder.address not in skipped
        ]

    def new_orders(self, now_s: float) -> Iterator[Outgoing]:
        """Iterate over the orders that are due, and record them as sent."""
        yields = self.yields_by_holder()
        recalled = self.recalls_by_holder()
        for address, holder in self.holders.items():
            orders = messages.SlotOrders(
                zone=self.zone,
                sequence=holder.orders_sequence + 1,
                lease_s=self.lease_s,
                granted=holder.unsent_grants,
                yield_requests=yields[address],
                recalled=recalled[address],
                shortages={
                    pool: demand.waiting
                    for pool, demand in holder.demands.items()
                },
            )
            if holder.reply_due or has_changed(orders, holder.last_orders):
                holder.orders_sequence = orders.sequence
                holder.orders_sent_s = now_s
                holder.last_orders = orders
                holder.unsent_grants = {}
                holder.reply_due = False
                yield Outgoing(to=address, orders=orders)

    def yields_by_holder(
        self,
    ) -> collections.defaultdict[names.PeerAddress, dict[str, int]]:
        """Return the slots to yield to less served jobs.

        Returns:
            Slots by pool, by peer address of the holder.
        """
        yields: collections.defaultdict[names.PeerAddress, dict[str, int]]
        yields = collections.defaultdict(dict)
        for pool in self.slots.pools():
            neediest = precedence.least_served(self.waiting(pool, set()), pool)
            if neediest is None:
                continue
            wanted = neediest.demands[pool].waiting
            yielding = [
                holder
                for holder in self.holders.values()
                if self.should_yield(holder, neediest, pool)
            ]
            for holder in yielding:
                part = -(-wanted // len(yielding))
                yields[holder.address][pool] = part
        return yields

    def should_yield(
        self,
        holder: lease_holder.LeaseHolder,
        neediest: lease_holder.LeaseHolder,
        pool: str,
    ) -> bool:
        """Return whether a holder has to give up freed slots.

        Args:
            holder: The holder.
            neediest: Holder with the least served demand in the pool.
            pool: The pool.

        Returns:
            Whether its freed slots of the pool go to another instance.
        """
        if holder is neediest or not self.slots.has_pool_slots(
            holder.held, pool
        ):
            return False
        own = holder.demands.get(pool)
        if own is None:
            return True
        if not self.rebalances:
            return False
        loads = precedence.team_loads(self.waiting(pool, set()), pool)
        return precedence.is_clearly_less_served(
            neediest.demands[pool], own, loads
        )

    def recalls_by_holder(
        self,
    ) -> collections.defaultdict[names.PeerAddress, dict[str, int]]:
        """Return the slots to recall because upstreams are oversubscribed.

        Returns:
            Slots by upstream, by peer address of the holder.
        """
        recalls: collections.defaultdict[names.PeerAddress, dict[str, int]]
        recalls = collections.defaultdict(dict)
        for name, excess in self.slots.excess().items():
            rest = excess
            for holder in by_slots_held(self.holders.values(), name):
                part = min(rest, holder.held.get(name, 0))
                rest -= part
                if part:
                    recalls[holder.address][name] = part
        return recalls


def by_slots_held(
    holders: Iterable[lease_holder.LeaseHolder], name: str
) -> list[lease_holder.LeaseHolder]:
    """Return the holders by slots held at an upstream, most slots first."""
    return sorted(
        holders, key=lambda holder: holder.held.get(name, 0), reverse=True
    )


def has_changed(
    orders: messages.SlotOrders, last: messages.SlotOrders | None
) -> bool:
    """Return whether orders differ enough from the last ones to be sent.

    A change in the number of slots to yield or of missing slots alone is not
    sent; a change in the pools concerned is.

    Args:
        orders: Orders that would be sent.
        last: Orders that were sent last, if any.

    Returns:
        Whether the holder needs them.
    """
    if orders.granted or last is None:
        return True
    return (
        orders.yield_requests.keys() != last.yield_requests.keys()
        or orders.recalled != last.recalled
        or bool(orders.shortages.keys() - last.shortages.keys())
    )
