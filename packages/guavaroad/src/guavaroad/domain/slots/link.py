"""One instance's side of its talk with the allocator of one zone."""

import collections
import dataclasses

from guavaroad.domain import names
from guavaroad.domain.slots import messages

_RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Messages and slots, counted since the start.

    Attributes:
        reports: Reports sent.
        orders: Orders taken.
        granted: Slots granted.
        returned: Slots given back.
        empty: Orders that told nothing, such as answers to renewals.
    """

    reports: int = 0
    orders: int = 0
    granted: int = 0
    returned: int = 0
    empty: int = 0


class ZoneLink:
    """What was told to and heard from the allocator of a zone.

    Attributes:
        zone: The availability zone.
        allocator: Peer address of its allocator; none if there is none.
        fallback: Whether a static share is used for want of an allocator.
    """

    def __init__(
        self, *, zone: names.AvailabilityZone, lease_s: float, now_s: float
    ) -> None:
        self.zone = zone
        self.allocator: names.PeerAddress | None = None
        self.fallback = False
        self.sequence = 0
        self.seen_orders = 0
        self.heard_s = now_s
        self.sent_s = now_s
        self.lease_s = lease_s
        self.yields: dict[str, int] = {}
        self.recalled: dict[str, int] = {}
        self.short: dict[str, int] = {}
        self.returned: collections.Counter[str] = collections.Counter()
        self.told: dict[str, tuple[int, ...]] | None = None
        self.counters = Counters()

    def set_allocator(
        self, allocator: names.PeerAddress | None, now_s: float
    ) -> None:
        """Turn to another allocator, to which everything is announced."""
        self.allocator = allocator
        self.seen_orders = 0
        self.heard_s = now_s
        self.yields = {}
        self.recalled = {}
        self.short = {}
        self.told = None

    def receive_orders(self, orders: messages.SlotOrders, now_s: float) -> bool:
        """Take orders; return whether they are new."""
        if orders.sequence <= self.seen_orders:
            return False
        self.seen_orders = orders.sequence
        self.heard_s = now_s
        self.lease_s = orders.lease_s
        self.yields = dict(orders.yields)
        self.recalled = dict(orders.recalled)
        self.short = dict(orders.short)
        self.counters.orders += 1
        self.counters.granted += sum(orders.granted.values())
        told = (orders.granted, orders.yields, orders.recalled, orders.short)
        self.counters.empty += not any(told)
        return True

    def consume_return_request(self, upstream: str, pool: str) -> bool:
        """Return whether a free slot is to be given back, and count it."""
        for claims, key in ((self.recalled, upstream), (self.yields, pool)):
            if claims.get(key, 0) > 0:
                claims[key] -= 1
                return True
        return False

    def has_answered(self) -> bool:
        """Return whether the allocator ever answered."""
        return bool(self.counters.orders)

    def is_unanswered(self, now_s: float, wait_s: float) -> bool:
        """Return whether the allocator leaves a report without an answer."""
        asked = self.allocator is None or self.sent_s > self.heard_s
        return asked and now_s - self.heard_s > wait_s

    def return_slots(self, upstream: str, count: int) -> None:
        """Note slots that the next report gives back."""
        self.returned[upstream] += count
        self.counters.returned += count

    def report(
        self,
        demands: dict[str, messages.PoolDemand],
        holdings: dict[str, int],
        refused: tuple[str, ...],
        now_s: float,
    ) -> messages.SlotReport | None:
        """Return the report to send, if there is something new to tell.

        Args:
            demands: What is waited for, by pool.
            holdings: Slots held, by upstream.
            refused: Upstreams at which no slot is wanted.
            now_s: Monotonic time.

        Returns:
            The report, none if the last one still says it all.
        """
        for satisfied in self.short.keys() - demands.keys():
            self.short.pop(satisfied)
        told = {pool: coarse(asked) for pool, asked in demands.items()}
        renewal_s = self.lease_s / _RENEWALS_PER_LEASE
        renews = holdings or demands or self.sent_s > self.heard_s
        due = bool(renews) and now_s - self.sent_s > renewal_s
        if not (due or self.returned or told != self.told):
            return None
        self.told = told
        self.sent_s = now_s
        self.sequence += 1
        self.counters.reports += 1
        returned = dict(self.returned)
        self.returned.clear()
        return messages.SlotReport(
            zone=self.zone,
            sequence=self.sequence,
            seen_orders=self.seen_orders,
            demands=demands,
            returned=returned,
            holdings=holdings,
            refused=refused,
        )


def coarse(demand: messages.PoolDemand) -> tuple[int, ...]:
    """Return what of a demand is worth a message when it changes."""
    return (
        demand.waiting.bit_length(),
        demand.level,
        int(demand.team_load).bit_length(),
        demand.job_load.bit_length(),
    )
