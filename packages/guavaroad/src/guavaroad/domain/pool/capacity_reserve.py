"""Capacity that less urgent work leaves free for more urgent jobs.

Guards against long jobs that fill every worker. Capacity then becomes free so
seldom that an urgent job can't start as a whole before its latency objective
is missed. The reserve covers what urgent jobs need beyond the runs that are
about to end; where capacity becomes free often enough, it is zero.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from guavaroad.domain.pool import values, work, worker

# Number of urgent jobs that the reserve has to fit, since they arrive in
# bursts.
RESERVED_JOBS: Final = 2
# Weight of the newest job in the smoothed demand of an urgency.
DEMAND_WEIGHT: Final = 0.1
# Interval between updates of the reserve, in seconds: half of the wait that
# meets the latency objective of an urgent job.
UPDATE_INTERVAL_S: Final = 0.05
# No capacity is reserved for an urgency without arrivals for this long, in
# seconds.
DEMAND_TTL_S: Final = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Demand:
    """Demand of a typical job of one urgency.

    Attributes:
        cores: Cores that all of its tasks need together, smoothed.
        objective_s: Longest wait that meets its latency objective, in seconds,
            smoothed.
        arrived_s: Time of the last arrival, in seconds.
    """

    cores: float
    objective_s: float
    arrived_s: float


class CapacityReserve:
    """Computes how much capacity a less urgent task must leave free.

    Attributes:
        demands: Demand of a typical job by urgency.
        reserved: Cores that are reserved by urgency.
        updated_s: Time of the last update, in seconds.
    """

    def __init__(self) -> None:
        self.demands: dict[int, Demand] = {}
        self.reserved: dict[int, float] = {}
        self.updated_s: float = 0

    def record_arrival(self, job: work.Job, now_s: float) -> None:
        """Fold a new job into the demand of its urgency."""
        cpu = sum(task.need.cpu for task in job.tasks)
        cores = cpu / values.CPU_MILLIS_PER_CORE
        objective_s = job.objective_start_s - job.arrived_s
        demand = self.demands.get(job.urgency)
        if demand is None:
            self.demands[job.urgency] = Demand(
                cores=cores, objective_s=objective_s, arrived_s=now_s
            )
            return
        demand.cores += DEMAND_WEIGHT * (cores - demand.cores)
        demand.objective_s += DEMAND_WEIGHT * (objective_s - demand.objective_s)
        demand.arrived_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Return whether the reserve is due for an update."""
        return now_s - self.updated_s >= UPDATE_INTERVAL_S

    def update(self, runs: Iterable[worker.Run], now_s: float) -> None:
        """Recompute the reserved cores.

        Args:
            runs: Runs on the workers of the pool.
            now_s: Current time, in seconds.
        """
        self.updated_s = now_s
        recent = {
            level: demand
            for level, demand in self.demands.items()
            if now_s - demand.arrived_s < DEMAND_TTL_S
        }
        self.reserved = {
            level: RESERVED_JOBS * demand.cores
            for level, demand in recent.items()
        }
        for run in runs:
            job = run.task.job
            left_s = run.ordered_s + run.task.estimate_s - now_s
            cores = run.task.need.cpu / values.CPU_MILLIS_PER_CORE
            for level, demand in recent.items():
                if job.urgency > level and left_s < demand.objective_s:
                    self.reserved[level] -= cores

    def cores_for(self, urgency: int) -> float:
        """Return the cores that work of an urgency must leave free."""
        reserved = (
            cores for level, cores in self.reserved.items() if level < urgency
        )
        return max(reserved, default=0)
