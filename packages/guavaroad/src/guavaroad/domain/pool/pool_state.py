"""What the allocator keeps for each pool of workers."""

from guavaroad.domain.pool import (
    backlog,
    capacity_reserve,
    placement,
    return_times,
    run_times,
    scarcity,
    service_shares,
    worker_health,
)


class PoolState:
    """Workers and waiting jobs of one pool.

    Attributes:
        run_times: Expected run times.
        capacity: Workers by free capacity.
        task_faults: Share of runs that fail by the fault of their task.
        overruns: Share of runs that take far longer than expected.
        backlog: Waiting jobs.
        room: Demand, and the room that the workers have.
        shares: Shares of the size classes and callers.
        returns: Booked returns of refused jobs.
        reserve: Capacity that is kept for urgent jobs.
    """

    def __init__(self) -> None:
        self.run_times = run_times.RunTimes()
        self.capacity = placement.CapacityIndex(times=self.run_times)
        self.task_faults = worker_health.FaultShare()
        self.overruns = worker_health.FaultShare()
        self.backlog = backlog.Backlog()
        self.room = scarcity.Room()
        self.shares = service_shares.ServiceShares()
        self.returns = return_times.ReturnTimes()
        self.reserve = capacity_reserve.CapacityReserve()
