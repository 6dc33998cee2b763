"""Placement of waiting tasks.

The cost of a pass does not grow with the queue: it examines only the heads of
the queues and ends when several jobs have found no worker. Gaps that are too
small for those are filled with a few other jobs, found by their size, since
tasks of half a worker would otherwise leave much of it free under overload.
"""

from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    allocator_state,
    attempt_policy,
    free_room,
    job_cost,
    messages,
    pool_state,
    values,
    work,
    worker,
)

# Jobs whose tasks found no worker before a placement pass ends. Capacity that
# fits none of them rarely fits another job.
MAX_MISSES: Final = 6


class PlacementScheduler:
    """Places waiting tasks on workers.

    Attributes:
        state: State of the allocator.
    """

    def __init__(self, *, state: allocator_state.AllocatorState) -> None:
        self.state = state

    def place(self, now_s: float) -> None:
        """Place the waiting tasks of all pools."""
        for pool in self.state.pools.values():
            self.place_pool(pool, now_s)

    def place_pool(self, pool: pool_state.PoolState, now_s: float) -> None:
        """Place the waiting tasks of one pool."""
        if pool.reserve.is_due(now_s):
            pool.reserve.update(pool.capacity.runs(), now_s)
        self.place_heads(pool, now_s)
        self.fill_gaps(pool, now_s)
        pool.room.measure(
            waiting_core_s=pool.backlog.on_time_core_s(),
            cores=pool.capacity.cores(now_s),
            now_s=now_s,
        )
        pool.capacity.is_full = pool.room.full_since_s is not None

    def place_heads(self, pool: pool_state.PoolState, now_s: float) -> None:
        """Place the first jobs in the order of service."""
        misses = 0
        cores = pool.capacity.cores(now_s)
        levels = sorted(
            pool.backlog.lanes,
            key=lambda level: pool.room.rank(level, cores),
        )
        for job in pool.backlog.heads(now_s, levels):
            if self.state.contacts.is_away(job.owner, now_s):
                continue
            if not self.place_job(pool, job, now_s):
                # One that waits for a better worker leaves room for others.
                misses += not attempt_policy.may_wait(job, now_s)
            if misses == MAX_MISSES:
                return

    def fill_gaps(self, pool: pool_state.PoolState, now_s: float) -> None:
        """Place whole jobs that fit into gaps that the heads don't fit into.

        The heads keep their turn: they are tried first in each pass, and the
        tightest fit leaves the largest gaps to them.
        """
        if not pool.backlog.queued:
            return
        gap_cpu = free_room.largest_gap_cpu(pool.capacity, now_s)
        for job in pool.backlog.fitting(gap_cpu):
            if not job.waiting:
                continue
            if self.state.contacts.is_away(job.owner, now_s):
                continue
            reserved_cores = pool.reserve.cores_for(job.urgency)
            if free_room.fits_now(
                pool.capacity,
                job.waiting.values(),
                reserved_cores * values.CPU_MILLIS_PER_CORE,
                now_s,
            ):
                self.place_job(pool, job, now_s)

    def place_job(
        self, pool: pool_state.PoolState, job: work.Job, now_s: float
    ) -> bool:
        """Place the tasks of a job; return whether all found a worker."""
        starts = []
        reserved_cores = pool.reserve.cores_for(job.urgency)
        reserved_cpu = reserved_cores * values.CPU_MILLIS_PER_CORE
        for task in tuple(job.waiting.values()):
            if pool.capacity.free_cpu - task.need.cpu < reserved_cpu:
                break
            worker_state = pool.capacity.choose(task, now_s)
            if worker_state is None:
                break
            starts.append(
                (task.index, task.next_run, worker_state.worker_info.worker_id)
            )
            self.start(pool, task, worker_state, now_s)
        if starts:
            job.may_have_started = True
            self.announce(job, starts, now_s)
        return not job.waiting

    def start(
        self,
        pool: pool_state.PoolState,
        task: work.Task,
        worker_state: worker.Worker,
        now_s: float,
    ) -> None:
        """Reserve capacity for a task and order its start."""
        pool.backlog.remove_task(task)
        pool.room.record_start(
            task.job.urgency, job_cost.core_s_of((task,)), now_s
        )
        number = task.next_run
        self.state.add_run(
            worker_state,
            worker.Run(
                task=task,
                number=number,
                state=values.RunState.ORDERED,
                ordered_s=now_s,
                reportable_s=float('inf'),
            ),
        )
        self.state.add_action(
            actions.StartRun(
                worker_id=worker_state.worker_info.worker_id,
                task=task.name,
                number=number,
                payload=task.job.payload,
                until_ms=worker_state.extend_lease(now_s),
                started_ms=worker_state.worker_info.started_ms,
                job=task.job.job_id,
                index=task.index,
                owner=task.job.owner,
                attempt=task.job.attempt,
                owner_has_payload=task.job.owner_has_payload,
            )
        )

    def announce(
        self,
        job: work.Job,
        starts: list[tuple[int, values.RunNumber, values.WorkerId]],
        now_s: float,
    ) -> None:
        """Notify the owner of starts, ahead of the orders themselves."""
        self.state.notify_owner(
            job,
            messages.Begun(
                job=job.job_id, starts=tuple(starts), attempt=job.attempt
            ),
        )
        self.state.log_event(
            'placed',
            job=job.job_id,
            urgency=job.urgency,
            waited_ms=units.to_ms(now_s - job.arrived_s),
            in_aim=now_s <= job.objective_start_s,
            starts=[
                f'{index}.{number}@{worker_id}'
                for index, number, worker_id in starts
            ],
            still_waiting=len(job.waiting),
        )
