"""Messages between the instances and the slot allocators.

Any message may be lost.  Reports and orders carry sequence numbers, and each
holder reports all its slots before its lease ends, so that a lost message
delays the use of a slot but never leaks it.
"""

import msgspec


class PoolDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Demand of one instance for slots of one pool.

    Attributes:
        waiting: Number of slots wanted.
        level: Rank of the class; the least served class has the lowest.
        team: Team of the least served waiting job.
        team_load: Running tasks of the team, divided by its weight.
        job_load: Running tasks of the least served waiting job.
        jobs: Number of waiting jobs of the team.
    """

    waiting: int
    level: int = 0
    team: str = ''
    team_load: float = 0
    job_load: int = 0
    jobs: int = 1


class SlotReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='slot-report',
):
    """Report from an instance to the allocator of a zone.

    Attributes:
        zone: The availability zone.
        sequence: Sequence number of the instance's reports for the zone.
        seen_orders: Sequence number of the last orders received.
        demands: Demand by pool; a pool without demand is absent.
        returned: Slots returned since the last report, by upstream.
        holdings: All slots held, by upstream, without those returned.
        refused: Names of upstreams at which no slot is wanted.
    """

    zone: str
    sequence: int
    seen_orders: int
    demands: dict[str, PoolDemand]
    returned: dict[str, int]
    holdings: dict[str, int]
    refused: tuple[str, ...] = ()


class SlotOrders(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='slot-orders',
):
    """Orders from the allocator of a zone to an instance.

    Attributes:
        zone: The availability zone.
        sequence: Sequence number of the orders for this instance.
        lease_s: Seconds after the last report that held slots expire.
        granted: Slots granted, by upstream.
        yield_requests: Slots to return to other instances as they come free, by
            pool.
        recalled: Slots to return as they come free because the upstream is
            oversubscribed, by upstream.
        shortages: Slots wanted that the zone does not have, by pool.
    """

    zone: str
    sequence: int
    lease_s: float
    granted: dict[str, int]
    yield_requests: dict[str, int]
    recalled: dict[str, int]
    shortages: dict[str, int]


class LeavingNotice(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='upstream-leaving',
):
    """Notice from the instance to which an upstream announced its shutdown.

    Attributes:
        upstream: Name of the upstream.
        address: Its address.
    """

    upstream: str
    address: str
