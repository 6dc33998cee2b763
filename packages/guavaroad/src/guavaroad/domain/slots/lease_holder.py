"""Allocator-side state of an instance that holds slots."""

import collections
import dataclasses

from guavaroad.domain import names
from guavaroad.domain.slots import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A granted slot that the holder has not confirmed.

    Attributes:
        sequence: Sequence number of the orders that grant it.
        upstream: Name of the upstream.
        pool: Pool of the upstream.
    """

    sequence: int
    upstream: str
    pool: str


@dataclasses.dataclass(slots=True, kw_only=True)
class LeaseHolder:
    """One instance that holds or waits for slots.

    Attributes:
        address: Its peer address.
        last_report_s: Arrival of its last report, monotonic seconds.
        report_sequence: Sequence number of its last report.
        orders_sequence: Sequence number of the last orders sent to it.
        orders_sent_s: When these were sent, monotonic seconds.
        held: Slots held by upstream, unconfirmed grants included.
        demands: Demand by pool, less unconfirmed grants.
        refused: Upstreams at which it accepts no slot.
        unconfirmed: Grants that it may not have received yet.
        unsent_grants: Slots by upstream to grant with the next orders.
        last_orders: Last orders sent to it.
        reply_due: Whether its last report needs a reply.
    """

    address: names.PeerAddress
    last_report_s: float
    report_sequence: int = 0
    orders_sequence: int = 0
    orders_sent_s: float = 0
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    demands: dict[str, messages.PoolDemand] = dataclasses.field(
        default_factory=dict
    )
    refused: tuple[str, ...] = ()
    unconfirmed: list[Grant] = dataclasses.field(default_factory=list)
    unsent_grants: dict[str, int] = dataclasses.field(default_factory=dict)
    last_orders: messages.SlotOrders | None = None
    reply_due: bool = True

    def receive_report(self, report: messages.SlotReport, now_s: float) -> None:
        """Apply a report, taking grants into account that it does not show.

        Args:
            report: The report.
            now_s: Monotonic time in seconds.
        """
        self.last_report_s = now_s
        self.orders_sequence = max(self.orders_sequence, report.seen_orders)
        self.report_sequence = report.sequence
        self.refused = report.refused
        self.unconfirmed = [
            grant
            for grant in self.unconfirmed
            if grant.sequence > report.seen_orders
        ]
        held = collections.Counter(report.holdings)
        held.update(grant.upstream for grant in self.unconfirmed)
        self.held = dict(held)
        granted = collections.Counter(grant.pool for grant in self.unconfirmed)
        self.demands = {
            pool: reduce_demand(demand, granted[pool])
            for pool, demand in report.demands.items()
            if demand.waiting > granted[pool]
        }

    def grant(self, upstream: str, pool: str) -> None:
        """Grant one more slot to the holder.

        Args:
            upstream: Name of the upstream.
            pool: Pool of the upstream, for which the holder has demand.
        """
        self.held[upstream] = self.held.get(upstream, 0) + 1
        self.unsent_grants[upstream] = self.unsent_grants.get(upstream, 0) + 1
        self.unconfirmed.append(
            Grant(
                sequence=self.orders_sequence + 1, upstream=upstream, pool=pool
            )
        )
        demand = self.demands[pool]
        if demand.waiting > 1:
            self.demands[pool] = reduce_demand(demand, 1)
        else:
            self.demands.pop(pool)


def reduce_demand(
    demand: messages.PoolDemand, granted: int
) -> messages.PoolDemand:
    """Return the demand that remains after slots were granted.

    Args:
        demand: Demand as reported.
        granted: Slots granted since.

    Returns:
        The remaining demand, with the loads that the granted slots add.
    """
    if not granted:
        return demand
    return messages.PoolDemand(
        waiting=demand.waiting - granted,
        level=demand.level,
        team=demand.team,
        team_load=demand.team_load + granted,
        job_load=demand.job_load + granted // max(1, demand.jobs),
        jobs=demand.jobs,
    )
