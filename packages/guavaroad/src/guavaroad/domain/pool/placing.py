"""One pass over the waiting jobs.

Its cost does not grow with the queue: it looks at the heads of each line, and
ends when a few jobs in a row have found no room.
"""

from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    ledger,
    messages,
    values,
    work,
    worker,
)

# Jobs whose tasks found no worker before a placement pass ends; room that
# fits none of them rarely fits another.
MISSES: Final = 6


class Placer:
    """Places waiting tasks.

    Attributes:
        state: What the allocator knows.
    """

    def __init__(self, *, state: ledger.Ledger) -> None:
        self.state = state

    def place(self, now_s: float) -> None:
        """Place waiting tasks where there is room."""
        for pool in self.state.pools.values():
            self.place_pool(pool, now_s)

    def place_pool(self, pool: ledger.PoolState, now_s: float) -> None:
        """Place the waiting tasks of one pool."""
        if pool.reserve.is_due(now_s):
            pool.reserve.look(pool.room.runs(), now_s)
        misses = 0
        silent = self.state.silent_owners
        for job in pool.backlog.heads(now_s):
            if job.owner in silent:
                continue
            if not self.place_job(pool, job, now_s):
                misses += 1
            if misses == MISSES:
                return

    def place_job(
        self, pool: ledger.PoolState, job: work.Job, now_s: float
    ) -> bool:
        """Place the tasks of a job; return whether all found a worker."""
        starts = []
        kept_cores = pool.reserve.cores_for(job.urgency)
        kept_cpu = kept_cores * values.CPU_MILLIS_PER_CORE
        for task in tuple(job.waiting):
            if pool.room.free_cpu - task.need.cpu < kept_cpu:
                break
            one = pool.room.choose(task, now_s)
            if one is None:
                break
            starts.append((task.index, task.next_run, one.facts.worker_id))
            self.start(pool, task, one, now_s)
        if starts:
            job.begun = True
            self.announce(job, starts, now_s)
        return not job.waiting

    def start(
        self,
        pool: ledger.PoolState,
        task: work.Task,
        one: worker.Worker,
        now_s: float,
    ) -> None:
        """Book room for a task and order its start."""
        pool.backlog.taken(task)
        number = task.next_run
        self.state.book(
            one,
            worker.Run(
                task=task,
                number=number,
                state=values.RunState.ORDERED,
                ordered_s=now_s,
                known_s=float('inf'),
            ),
        )
        self.state.act(
            actions.StartRun(
                worker_id=one.facts.worker_id,
                task=task.name,
                number=number,
                payload=task.job.payload,
                until_ms=one.lease.extend(now_s),
            )
        )

    def announce(
        self,
        job: work.Job,
        starts: list[tuple[int, values.RunNumber, values.WorkerId]],
        now_s: float,
    ) -> None:
        """Tell the owner of starts, ahead of the orders themselves."""
        self.state.tell(
            job, messages.Begun(job=job.job_id, starts=tuple(starts))
        )
        self.state.note(
            'placed',
            job=job.job_id,
            urgency=job.urgency,
            waited_ms=units.to_ms(now_s - job.arrived_s),
            in_aim=now_s <= job.aim_s,
            starts=[
                f'{index}.{number}@{worker_id}'
                for index, number, worker_id in starts
            ],
            still_waiting=len(job.waiting),
        )
