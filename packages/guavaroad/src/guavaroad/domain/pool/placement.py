"""Choice of the worker that runs a task.

Guards against fragmentation when tasks nearly fill a worker: the tightest fit
leaves larger gaps free for later tasks. The workers are sorted by free cores,
so that the cost of a choice does not grow with their number.
"""

import functools
import itertools
from collections.abc import Iterable, Iterator
from typing import Final

import sortedcontainers

from guavaroad.domain.pool import constraints, values, work, worker

# Fitting workers that are compared. Each costs time, and further ones leave
# larger gaps.
MAX_CANDIDATES: Final = 8
# Time for which a worker may be missing from the platform's list and still get
# tasks, in seconds; missing entries reappear within 2 s.
UNLISTED_GRACE_S: Final = 2.5
# Age up to which the number of usable cores is reused, in seconds. It is needed
# for every job, and counting it takes time in proportion to the workers.
CORES_MAX_AGE_S: Final = 0.02


class CapacityIndex:
    """Workers of one pool by their free cores.

    Attributes:
        order: Free thousandths of a core and id of each worker, ascending.
        workers: Workers by id.
        indexed_cpu: Free cores under which each worker is indexed, in
            thousandths.
        free_cpu: Free thousandths of a core of all workers. A worker that has
            shrunk below what it runs counts as 0.
        usable_cores: Cores of the usable workers as last counted.
        cores_counted_s: Time of that count, in seconds.
    """

    def __init__(self) -> None:
        self.order: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.workers: dict[values.WorkerId, worker.Worker] = {}
        self.indexed_cpu: dict[values.WorkerId, int] = {}
        self.free_cpu = 0
        self.usable_cores = float(0)
        self.cores_counted_s = float('-inf')

    def update(self, worker_state: worker.Worker) -> None:
        """Index a worker under its current free cores."""
        worker_id = worker_state.worker_info.worker_id
        indexed = self.indexed_cpu.get(worker_id)
        if indexed == worker_state.free_cpu:
            return
        if indexed is not None:
            self.order.remove((indexed, worker_id))
        self.order.add((worker_state.free_cpu, worker_id))
        free_before = max(indexed or 0, 0)
        self.free_cpu += max(worker_state.free_cpu, 0) - free_before
        self.indexed_cpu[worker_id] = worker_state.free_cpu
        self.workers[worker_id] = worker_state

    def remove(self, worker_id: values.WorkerId) -> None:
        """Remove a worker from the index."""
        indexed = self.indexed_cpu.pop(worker_id, None)
        if indexed is not None:
            self.order.remove((indexed, worker_id))
            self.free_cpu -= max(indexed, 0)
            self.workers.pop(worker_id)

    def choose(self, task: work.Task, now_s: float) -> worker.Worker | None:
        """Return the worker for a task, or None if none is suitable.

        Args:
            task: Task to place.
            now_s: Current time, in seconds.
        """
        fitting = (
            self.workers[worker_id]
            for _, worker_id in self.order.irange((task.need.cpu, ''))
        )
        usable = (
            worker_state
            for worker_state in fitting
            if worker_state.fits(task.need)
            and is_usable(worker_state, now_s)
            and not worker_state.has_silent_owner()
        )
        if task.constraint == constraints.ANYWHERE:
            candidates = itertools.islice(usable, MAX_CANDIDATES)
            return _best(candidates, task)
        return self.choose_constrained(task, usable)

    def choose_constrained(
        self, task: work.Task, usable: Iterator[worker.Worker]
    ) -> worker.Worker | None:
        """Return the worker for a constrained task, near its data if possible.

        Args:
            task: Task to place.
            usable: Usable workers that the task fits on.
        """
        constraint = task.constraint
        allowed = [
            worker_state
            for worker_state in usable
            if constraint.allows(worker_state.worker_info.labels)
            and is_below_step_limit(worker_state, task)
        ]
        near = [
            worker_state
            for worker_state in allowed
            if constraint.is_near(worker_state.worker_info.labels)
        ]
        return _best(near or allowed, task)

    def could_run(self, task: work.Task) -> bool:
        """Return whether any worker has the size and label for a task."""
        return any(
            task.constraint.allows(worker_state.worker_info.labels)
            and worker_state.worker_info.capacity.cpu >= task.need.cpu
            and worker_state.worker_info.capacity.memory_mb
            >= task.need.memory_mb
            and worker_state.worker_info.capacity.gpu >= task.need.gpu
            for worker_state in self.workers.values()
        )

    def runs(self) -> Iterator[worker.Run]:
        """Yield the runs on the workers."""
        for worker_state in self.workers.values():
            yield from worker_state.runs.values()

    def cores(self, now_s: float) -> float:
        """Return the number of cores of the usable workers."""
        if now_s - self.cores_counted_s > CORES_MAX_AGE_S:
            self.cores_counted_s = now_s
            usable_cpu = sum(
                worker_state.worker_info.capacity.cpu
                for worker_state in self.workers.values()
                if is_usable(worker_state, now_s)
            )
            self.usable_cores = usable_cpu / values.CPU_MILLIS_PER_CORE
        return self.usable_cores


def is_usable(worker_state: worker.Worker, now_s: float) -> bool:
    """Return whether a worker may get a new task.

    Args:
        worker_state: The worker.
        now_s: Current time, in seconds.
    """
    if (
        worker_state.worker_info.draining
        or not worker_state.is_synced
        or worker_state.unclaimed_runs
    ):
        return False
    unlisted_since_s = worker_state.unlisted_since_s
    if (
        unlisted_since_s is not None
        and now_s - unlisted_since_s > UNLISTED_GRACE_S
    ):
        return False
    return worker_state.health.allows(now_s, len(worker_state.runs))


def is_below_step_limit(worker_state: worker.Worker, task: work.Task) -> bool:
    """Return whether a worker may get one more task of the task's step."""
    most = task.constraint.most_per_worker
    if not most:
        return True
    same_step = sum(
        1
        for run in worker_state.runs.values()
        if run.task.job is task.job and run.task.step == task.step
    )
    return same_step < most


def _best(
    candidates: Iterable[worker.Worker], task: work.Task
) -> worker.Worker | None:
    return min(
        candidates, key=functools.partial(_preference, task), default=None
    )


def _preference(
    task: work.Task, worker_state: worker.Worker
) -> tuple[bool, bool, float]:
    has_refused = worker_state.worker_info.worker_id == task.refused_by
    # Tasks that were lost together would be lost together again.
    is_suspected_too = bool(task.losses) and worker_state.has_suspect()
    return has_refused, is_suspected_too, worker_state.health.run_time_ratio
