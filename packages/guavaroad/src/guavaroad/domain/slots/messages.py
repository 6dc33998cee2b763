"""Messages between the instances and the allocators of slots.

Any of them may be lost.  Reports and orders carry sequence numbers, and every
holder tells its whole holdings before its lease ends, so that a lost message
costs some time, never a slot for good.
"""

import msgspec


class PoolDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one instance waits for in one pool.

    Attributes:
        waiting: Slots wanted.
        level: Rank of the class, the least served class first.
        team: Team of the least served waiting job.
        team_load: Running tasks of the team, divided by its weight.
        job_load: Running tasks of the least served waiting job.
        jobs: Waiting jobs of that team.
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
    """From an instance to the allocator of a zone.

    Attributes:
        zone: The availability zone.
        sequence: Counts the reports of the instance to this allocator.
        seen_orders: Sequence of the last orders that were taken.
        demands: By pool; a pool without demand is absent.
        returned: Slots given back, by upstream.
        holdings: Every slot held, by upstream, after `returned`.
        refused: Upstreams at which no slot is wanted.
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
    """From the allocator of a zone to an instance.

    Attributes:
        zone: The availability zone.
        sequence: Counts the orders of the allocator to this instance.
        lease_s: Seconds that holdings last without an answer to a report.
        granted: Slots granted, by upstream.
        yields: Slots to give back as they come free, by pool.
        recalled: Slots to give back as they come free, by upstream.
        short: Slots asked for that the zone has not, by pool.
    """

    zone: str
    sequence: int
    lease_s: float
    granted: dict[str, int]
    yields: dict[str, int]
    recalled: dict[str, int]
    short: dict[str, int]


class LeavingNotice(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='upstream-leaving',
):
    """From the instance that an upstream told that it leaves.

    Attributes:
        upstream: Name of the upstream.
        address: Its address.
    """

    upstream: str
    address: str
