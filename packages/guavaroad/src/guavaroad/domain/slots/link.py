"""An instance's link to the slot allocator of one zone."""

import collections
import dataclasses

from guavaroad.domain import names
from guavaroad.domain.slots import messages

_RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Numbers of messages and slots since the start of the process.

    Attributes:
        reports: Reports sent.
        orders: Orders received.
        granted: Slots granted.
        returned: Slots returned.
        empty: Orders without content, such as replies to renewals.
    """

    reports: int = 0
    orders: int = 0
    granted: int = 0
    returned: int = 0
    empty: int = 0


class ZoneLink:
    """State of the message exchange with the allocator of a zone.

    Attributes:
        zone: The availability zone.
        allocator: Peer address of its allocator; None if there is none.
        fallback: Whether a static share is used because there is no allocator.
        sequence: Sequence number of the last report.
        seen_orders: Sequence number of the last orders received.
        last_orders_s: When these arrived, or the allocator was set, monotonic
            seconds.
        last_report_s: When the last report was sent, monotonic seconds.
        lease_s: Lease time of the last orders, in seconds.
        yield_requests: Slots still to return as they come free, by pool.
        recalled: Slots still to return as they come free, by upstream.
        shortages: Slots that the allocator could not grant, by pool.
        returned: Slots to return with the next report, by upstream.
        last_demands: Coarse demands of the last report, by pool; None before
            the first report to this allocator.
        counters: Numbers of messages and slots.
    """

    def __init__(
        self, *, zone: names.AvailabilityZone, lease_s: float, now_s: float
    ) -> None:
        self.zone = zone
        self.allocator: names.PeerAddress | None = None
        self.fallback = False
        self.sequence = 0
        self.seen_orders = 0
        self.last_orders_s = now_s
        self.last_report_s = now_s
        self.lease_s = lease_s
        self.yield_requests: dict[str, int] = {}
        self.recalled: dict[str, int] = {}
        self.shortages: dict[str, int] = {}
        self.returned: collections.Counter[str] = collections.Counter()
        self.last_demands: dict[str, tuple[int, ...]] | None = None
        self.counters = Counters()

    def set_allocator(
        self, allocator: names.PeerAddress | None, now_s: float
    ) -> None:
        """Switch to another allocator, which gets a full report next.

        Args:
            allocator: Its peer address; None if the zone has none.
            now_s: Monotonic time in seconds.
        """
        self.allocator = allocator
        self.seen_orders = 0
        self.last_orders_s = now_s
        self.yield_requests = {}
        self.recalled = {}
        self.shortages = {}
        self.last_demands = None

    def receive_orders(self, orders: messages.SlotOrders, now_s: float) -> bool:
        """Apply orders, unless they are out of order.

        Args:
            orders: The orders.
            now_s: Monotonic time in seconds.

        Returns:
            Whether they were applied.
        """
        if orders.sequence <= self.seen_orders:
            return False
        self.seen_orders = orders.sequence
        self.last_orders_s = now_s
        self.lease_s = orders.lease_s
        self.yield_requests = dict(orders.yield_requests)
        self.recalled = dict(orders.recalled)
        self.shortages = dict(orders.shortages)
        self.counters.orders += 1
        self.counters.granted += sum(orders.granted.values())
        parts = (
            orders.granted,
            orders.yield_requests,
            orders.recalled,
            orders.shortages,
        )
        self.counters.empty += not any(parts)
        return True

    def consume_return_request(self, upstream: str, pool: str) -> bool:
        """Return whether to return a free slot, and count the request down.

        Args:
            upstream: Name of the slot's upstream.
            pool: Pool of the upstream.

        Returns:
            Whether the allocator asked for a slot of the upstream or pool.
        """
        for requested, key in (
            (self.recalled, upstream),
            (self.yield_requests, pool),
        ):
            if requested.get(key, 0) > 0:
                requested[key] -= 1
                return True
        return False

    def has_answered(self) -> bool:
        """Return whether an allocator of the zone ever sent orders."""
        return bool(self.counters.orders)

    def is_unanswered(self, now_s: float, timeout_s: float) -> bool:
        """Return whether no orders arrived within the timeout.

        Args:
            now_s: Monotonic time in seconds.
            timeout_s: Seconds to wait for orders.

        Returns:
            Whether a report got no answer for so long, or the zone had no
            allocator to report to.
        """
        is_waiting = (
            self.allocator is None or self.last_report_s > self.last_orders_s
        )
        return is_waiting and now_s - self.last_orders_s > timeout_s

    def return_slots(self, upstream: str, count: int) -> None:
        """Add slots to those that the next report returns."""
        self.returned[upstream] += count
        self.counters.returned += count

    def report(
        self,
        demands: dict[str, messages.PoolDemand],
        holdings: dict[str, int],
        refused: tuple[str, ...],
        now_s: float,
    ) -> messages.SlotReport | None:
        """Return the report to send, if one is due.

        A report is due when slots are to be returned, when the demand has
        changed by much, or when the lease is to be renewed.

        Args:
            demands: Demand by pool.
            holdings: Slots held, by upstream.
            refused: Names of upstreams at which no slot is wanted.
            now_s: Monotonic time in seconds.

        Returns:
            The report, or None if none is due.
        """
        for satisfied in self.shortages.keys() - demands.keys():
            self.shortages.pop(satisfied)
        coarse_demands = {
            pool: coarse(demand) for pool, demand in demands.items()
        }
        renewal_s = self.lease_s / _RENEWALS_PER_LEASE
        renews = holdings or demands or self.last_report_s > self.last_orders_s
        due = bool(renews) and now_s - self.last_report_s > renewal_s
        if not (due or self.returned or coarse_demands != self.last_demands):
            return None
        self.last_demands = coarse_demands
        self.last_report_s = now_s
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
    """Return a demand with counts and loads reduced to their bit lengths.

    A change is reported early only if this value changes, so that small
    changes cost no message.
    """
    return (
        demand.waiting.bit_length(),
        demand.level,
        int(demand.team_load).bit_length(),
        demand.job_load.bit_length(),
    )
