"""Order in which waiting demands get free slots."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final

from guavaroad.domain.slots import lease_holder, messages

# The margins prevent a slot from oscillating between equal demands.
_JOB_LOAD_MARGIN: Final = 2
_TEAM_LOAD_FACTOR: Final = 1.25

Loads = Mapping[str, float]
Rank = tuple[float, float, float]


def team_loads(waiting: Iterable[lease_holder.LeaseHolder], pool: str) -> Loads:
    """Return the load of each waiting team, summed over the instances."""
    loads: collections.defaultdict[str, float] = collections.defaultdict(float)
    for holder in waiting:
        demand = holder.demands[pool]
        loads[demand.team] += demand.team_load
    return loads


def rank(demand: messages.PoolDemand, loads: Loads) -> Rank:
    """Return the rank of a demand: by class, then team, then job."""
    return (demand.level, loads[demand.team], demand.job_load)


def least_served(
    waiting: list[lease_holder.LeaseHolder], pool: str
) -> lease_holder.LeaseHolder | None:
    """Return the holder with the least served demand.

    Args:
        waiting: Holders with a demand in the pool.
        pool: The pool.

    Returns:
        The holder, or None if none waits.
    """
    loads = team_loads(waiting, pool)
    return min(
        waiting,
        key=lambda holder: rank(holder.demands[pool], loads),
        default=None,
    )


def is_clearly_less_served(
    other: messages.PoolDemand, own: messages.PoolDemand, loads: Loads
) -> bool:
    """Return whether a demand is less served than another by a margin.

    Args:
        other: Demand that may get the slot.
        own: Demand of the present holder.
        loads: Load of each team.

    Returns:
        Whether the slot should move.
    """
    if other.level != own.level:
        return other.level < own.level
    if other.team != own.team:
        own_load = loads[own.team]
        return loads[other.team] * _TEAM_LOAD_FACTOR < own_load
    return other.job_load + _JOB_LOAD_MARGIN <= own.job_load
