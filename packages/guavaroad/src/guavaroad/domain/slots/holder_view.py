"""What an allocator knows of one holder of slots."""

import collections
import dataclasses

from guavaroad.domain import names
from guavaroad.domain.slots import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A slot granted by orders that the holder has not confirmed."""

    sequence: int
    upstream: str
    pool: str


@dataclasses.dataclass(slots=True, kw_only=True)
class HolderView:
    """One instance as an allocator sees it.

    Attributes:
        address: Its peer address.
        heard_s: When its last report came, monotonic seconds.
        reported: Sequence of its last report.
        told: Sequence of the last orders sent to it.
        told_s: When they were sent, monotonic seconds.
        held: Slots it holds, by upstream, unconfirmed grants included.
        demands: What it waits for, by pool, unconfirmed grants taken off.
        refused: Upstreams at which it wants no slot.
        unconfirmed: Grants it may not have taken yet.
        fresh: Grants to be sent with the next orders.
        last: Yields, recalls and shortages it was told last.
        answer_due: Whether its last report awaits an answer.
    """

    address: names.PeerAddress
    heard_s: float
    reported: int = 0
    told: int = 0
    told_s: float = 0
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    demands: dict[str, messages.PoolDemand] = dataclasses.field(
        default_factory=dict
    )
    refused: tuple[str, ...] = ()
    unconfirmed: list[Grant] = dataclasses.field(default_factory=list)
    fresh: dict[str, int] = dataclasses.field(default_factory=dict)
    last: messages.SlotOrders | None = None
    answer_due: bool = True

    def take(self, report: messages.SlotReport, now_s: float) -> None:
        """Take a report: holdings, and demands less what is on its way."""
        self.heard_s = now_s
        self.told = max(self.told, report.seen_orders)
        self.reported = report.sequence
        self.refused = report.refused
        self.unconfirmed = [
            grant
            for grant in self.unconfirmed
            if grant.sequence > report.seen_orders
        ]
        held = collections.Counter(report.holdings)
        held.update(grant.upstream for grant in self.unconfirmed)
        self.held = dict(held)
        coming = collections.Counter(grant.pool for grant in self.unconfirmed)
        self.demands = {
            pool: less(demand, coming[pool])
            for pool, demand in report.demands.items()
            if demand.waiting > coming[pool]
        }

    def grant(self, upstream: str, pool: str) -> None:
        """Count one more slot of the holder."""
        self.held[upstream] = self.held.get(upstream, 0) + 1
        self.fresh[upstream] = self.fresh.get(upstream, 0) + 1
        self.unconfirmed.append(
            Grant(sequence=self.told + 1, upstream=upstream, pool=pool)
        )
        demand = self.demands[pool]
        if demand.waiting > 1:
            self.demands[pool] = less(demand, 1)
        else:
            self.demands.pop(pool)


def less(demand: messages.PoolDemand, granted: int) -> messages.PoolDemand:
    """Return a demand after slots were granted to it.

    Args:
        demand: What was asked for.
        granted: Slots granted since.

    Returns:
        The rest, with the loads that the granted slots bring about.
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
