"""Placement of waiting tasks.

The cost of a pass does not grow with the queue: it examines only the heads of
the queues and ends when several jobs have found no worker.
"""

from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    allocator_state,
    attempt_policy,
    messages,
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

    def place_pool(self, pool: allocator_state.PoolState, now_s: float) -> None:
        """Place the waiting tasks of one pool."""
        if pool.reserve.is_due(now_s):
            pool.reserve.update(pool.capacity.runs(), now_s)
        misses = 0
        lost_owners = self.state.lost_owners
        for job in pool.backlog.heads(now_s):
            if job.owner in lost_owners:
                continue
            if not self.place_job(pool, job, now_s):
                # One that waits for a better worker leaves room for others.
                misses += not attempt_policy.may_wait(job, now_s)
            if misses == MAX_MISSES:
                return

    def place_job(
        self, pool: allocator_state.PoolState, job: work.Job, now_s: float
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
        pool: allocator_state.PoolState,
        task: work.Task,
        worker_state: worker.Worker,
        now_s: float,
    ) -> None:
        """Reserve capacity for a task and order its start."""
        pool.backlog.remove_task(task)
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
                until_ms=worker_state.lease.extend(now_s),
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
