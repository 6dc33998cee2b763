"""Grants the slots of one availability zone to the instances that wait."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.slots import (
    free_slots,
    holder_view,
    messages,
    precedence,
    upstream,
)

_MOST_GRANTS: Final = 2000
_ANSWERS: Final = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """Orders for one holder."""

    to: names.PeerAddress
    orders: messages.SlotOrders


class Allocator:
    """Allocator of one zone.

    Attributes:
        zone: The availability zone.
        rebalances: Whether holders give back freed slots to less served jobs.
        grants_from_s: Until then holders of the allocator before this one
            announce what they hold, and only what was given back is granted.
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
        self.holders: dict[names.PeerAddress, holder_view.HolderView] = {}
        self.slots = free_slots.FreeSlots()

    def set_upstreams(self, listed: tuple[upstream.Upstream, ...]) -> None:
        """Take the zone's upstreams; one that leaves is not granted."""
        self.slots.list_upstreams(listed)

    def receive_report(
        self,
        sender: names.PeerAddress,
        report: messages.SlotReport,
        now_s: float,
    ) -> None:
        """Take the report of a holder; an older one is dropped."""
        known = self.holders.get(sender)
        if known is None:
            known = holder_view.HolderView(address=sender, heard_s=now_s)
            self.holders[sender] = known
        if report.sequence <= known.reported:
            return
        self.slots.surrender(report.returned)
        self.slots.change(known.held, -1)
        known.take(report, now_s)
        known.answer_due |= self.answer_due(known, report, now_s)
        self.slots.change(known.held, 1)

    def answer_due(
        self,
        known: holder_view.HolderView,
        report: messages.SlotReport,
        now_s: float,
    ) -> bool:
        """Return whether a report is answered though nothing is new."""
        yielded = bool(report.returned and known.last and known.last.yields)
        return yielded or now_s - known.told_s > self.lease_s / _ANSWERS

    def remove_holder(self, sender: names.PeerAddress) -> None:
        """Free the slots of a holder that is gone."""
        known = self.holders.pop(sender, None)
        if known is not None:
            self.slots.change(known.held, -1)

    def allocate(self, now_s: float) -> tuple[Outgoing, ...]:
        """Grant what is free, and return the orders that say something new.

        Args:
            now_s: Monotonic time.

        Returns:
            At most one message for each holder.
        """
        lapsed = [
            address
            for address, known in self.holders.items()
            if now_s - known.heard_s > self.lease_s
        ]
        for address in lapsed:
            self.remove_holder(address)
        if now_s >= self.grants_from_s:
            self.slots.waiting = False
        for pool in self.slots.pools():
            self.grant_pool(pool)
        return tuple(self.new_orders(now_s))

    def grant_pool(self, pool: str) -> None:
        """Grant free slots of a pool, each to the least served demand."""
        skipped: set[names.PeerAddress] = set()
        for _ in range(_MOST_GRANTS):
            ranked = precedence.least(self.waiting(pool, skipped), pool)
            if ranked is None:
                return
            chosen = self.slots.choose(pool, ranked.refused)
            if chosen is None:
                skipped.add(ranked.address)
            else:
                self.slots.grant(chosen)
                ranked.grant(chosen, pool)

    def waiting(
        self, pool: str, skipped: set[names.PeerAddress]
    ) -> list[holder_view.HolderView]:
        """Return the holders that wait for slots of a pool."""
        return [
            known
            for known in self.holders.values()
            if pool in known.demands and known.address not in skipped
        ]

    def new_orders(self, now_s: float) -> Iterator[Outgoing]:
        """Iterate over the orders that differ from what was told last."""
        yields = self.yields_by_holder()
        recalled = self.recalls_by_holder()
        for address, known in self.holders.items():
            orders = messages.SlotOrders(
                zone=self.zone,
                sequence=known.told + 1,
                lease_s=self.lease_s,
                granted=known.fresh,
                yields=yields[address],
                recalled=recalled[address],
                short={
                    pool: demand.waiting
                    for pool, demand in known.demands.items()
                },
            )
            if known.answer_due or says_more(orders, known.last):
                known.told = orders.sequence
                known.told_s = now_s
                known.last = orders
                known.fresh = {}
                known.answer_due = False
                yield Outgoing(to=address, orders=orders)

    def yields_by_holder(
        self,
    ) -> collections.defaultdict[names.PeerAddress, dict[str, int]]:
        """Return the slots that holders give back to less served jobs."""
        yields: collections.defaultdict[names.PeerAddress, dict[str, int]]
        yields = collections.defaultdict(dict)
        for pool in self.slots.pools():
            first = precedence.least(self.waiting(pool, set()), pool)
            if first is None:
                continue
            wanted = first.demands[pool].waiting
            yielding = [
                known
                for known in self.holders.values()
                if self.yields_to(known, first, pool)
            ]
            for known in yielding:
                part = -(-wanted // len(yielding))
                yields[known.address][pool] = part
        return yields

    def yields_to(
        self,
        known: holder_view.HolderView,
        first: holder_view.HolderView,
        pool: str,
    ) -> bool:
        """Return whether a holder's freed slots go to another instance."""
        if known is first or not self.slots.holds_any(known.held, pool):
            return False
        own = known.demands.get(pool)
        if own is None:
            return True
        if not self.rebalances:
            return False
        loads = precedence.team_loads(self.waiting(pool, set()), pool)
        return precedence.clearly_before(first.demands[pool], own, loads)

    def recalls_by_holder(
        self,
    ) -> collections.defaultdict[names.PeerAddress, dict[str, int]]:
        """Return the slots held beyond what upstreams have."""
        recalls: collections.defaultdict[names.PeerAddress, dict[str, int]]
        recalls = collections.defaultdict(dict)
        for name, excess in self.slots.excess().items():
            rest = excess
            for known in most_holding(self.holders.values(), name):
                part = min(rest, known.held.get(name, 0))
                rest -= part
                if part:
                    recalls[known.address][name] = part
        return recalls


def most_holding(
    holders: Iterable[holder_view.HolderView], name: str
) -> list[holder_view.HolderView]:
    """Return the holders, that with the most slots of an upstream first."""
    return sorted(
        holders, key=lambda known: known.held.get(name, 0), reverse=True
    )


def says_more(
    orders: messages.SlotOrders, last: messages.SlotOrders | None
) -> bool:
    """Return whether orders differ from the last in more than a number.

    Args:
        orders: What would be sent.
        last: What was sent last.

    Returns:
        Whether the holder has to know.
    """
    if orders.granted or last is None:
        return True
    return (
        orders.yields.keys() != last.yields.keys()
        or orders.recalled != last.recalled
        or bool(orders.short.keys() - last.short.keys())
    )
