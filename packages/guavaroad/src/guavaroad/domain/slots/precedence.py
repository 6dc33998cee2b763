"""Which waiting demand a free slot serves first."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final

from guavaroad.domain.slots import holder_view, messages

_JOB_MARGIN: Final = 2
_TEAM_MARGIN: Final = 1.25

Loads = Mapping[str, float]
Rank = tuple[float, float, float]


def team_loads(waiting: Iterable[holder_view.HolderView], pool: str) -> Loads:
    """Return the load of each waiting team, added up over the instances."""
    loads: collections.defaultdict[str, float] = collections.defaultdict(float)
    for known in waiting:
        demand = known.demands[pool]
        loads[demand.team] += demand.team_load
    return loads


def rank(demand: messages.PoolDemand, loads: Loads) -> Rank:
    """Return the rank of a demand: class, then team, then job."""
    return (demand.level, loads[demand.team], demand.job_load)


def least(
    waiting: list[holder_view.HolderView], pool: str
) -> holder_view.HolderView | None:
    """Return the holder whose demand is least served.

    Args:
        waiting: Holders with a demand in the pool.
        pool: The pool.

    Returns:
        The holder, none if nobody waits.
    """
    loads = team_loads(waiting, pool)
    return min(
        waiting,
        key=lambda known: rank(known.demands[pool], loads),
        default=None,
    )


def clearly_before(
    first: messages.PoolDemand, own: messages.PoolDemand, loads: Loads
) -> bool:
    """Return whether a demand is served clearly less than another.

    The margins keep a slot from going to and fro between equals.

    Args:
        first: Demand that may take the slot.
        own: Demand of the present holder.
        loads: Loads by team.

    Returns:
        Whether the slot should move.
    """
    if first.level != own.level:
        return first.level < own.level
    if first.team != own.team:
        own_load = loads[own.team]
        return loads[first.team] * _TEAM_MARGIN < own_load
    return first.job_load + _JOB_MARGIN <= own.job_load
