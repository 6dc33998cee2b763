"""Choice of the worker that runs a task.

Guards against fragmentation when tasks nearly fill a worker: the tightest fit
leaves larger gaps free for later tasks. Handles workers of uneven speed: the
slowest on which the task will be in time leaves the faster ones to tasks that
need them. The workers of each group are sorted by free cores, so that the cost
of a choice does not grow with their number.
"""

import heapq
import itertools
from collections.abc import Iterator, Sequence
from typing import Final

import sortedcontainers

from guavaroad.domain.pool import (
    attempt_policy,
    constraints,
    placement_order,
    run_times,
    values,
    work,
    worker,
)

# Fitting workers of a group that are compared. Each costs time, and further
# ones leave larger gaps.
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
        run_times: Expected run times in the pool.
        groups: Free thousandths of a core and id of each worker, ascending, by
            its group.
        workers: Workers by id.
        indexed: Group under which each worker is indexed, and its free
            thousandths of a core.
        free_cpu: Free thousandths of a core of all workers. A worker that has
            shrunk below what it runs counts as 0.
        is_full: Whether work waits because the workers are full.
        usable_cores: Cores of the usable workers as last counted.
        cores_counted_s: Time of that count, in seconds.
    """

    def __init__(self, *, times: run_times.RunTimes) -> None:
        self.run_times = times
        self.groups: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self.workers: dict[values.WorkerId, worker.Worker] = {}
        self.indexed: dict[
            values.WorkerId, tuple[placement_order.Group, int]
        ] = {}
        self.free_cpu = 0
        self.is_full = False
        self.usable_cores = float(0)
        self.cores_counted_s = float('-inf')

    def update(self, worker_state: worker.Worker, now_s: float | None) -> None:
        """Index a worker under its current group and free cores.

        Args:
            worker_state: The worker.
            now_s: Current time, in seconds; None to keep its group.
        """
        worker_id = worker_state.worker_info.worker_id
        known = self.indexed.get(worker_id)
        if now_s is None:
            group = known[0] if known else placement_order.USUAL_GROUP
        else:
            group = placement_order.group_of(
                worker_state, self.run_times, now_s
            )
        entry = (group, worker_state.free_cpu)
        if known == entry:
            return
        self.remove(worker_id)
        self.groups.setdefault(group, sortedcontainers.SortedList()).add(
            (worker_state.free_cpu, worker_id)
        )
        self.free_cpu += max(worker_state.free_cpu, 0)
        self.indexed[worker_id] = entry
        self.workers[worker_id] = worker_state

    def remove(self, worker_id: values.WorkerId) -> None:
        """Remove a worker from the index."""
        known = self.indexed.pop(worker_id, None)
        if known is None:
            return
        group, indexed_cpu = known
        order = self.groups[group]
        order.remove((indexed_cpu, worker_id))
        if not order:
            self.groups.pop(group)
        self.free_cpu -= max(indexed_cpu, 0)
        self.workers.pop(worker_id)

    def choose(self, task: work.Task, now_s: float) -> worker.Worker | None:
        """Return the worker for a task, or None if none is suitable.

        Args:
            task: Task to place.
            now_s: Current time, in seconds.
        """
        run_s = self.run_times.expected_s(task)
        required = attempt_policy.requirement(task, run_s, now_s)
        chosen = self.find(task, required, now_s)
        if chosen or not task.failures or self.has_clean(task, now_s):
            return chosen
        return self.find(task, attempt_policy.ANY_WORKER, now_s)

    def has_clean(self, task: work.Task, now_s: float) -> bool:
        """Return whether a wait may get a failed task a clean worker."""
        return any(
            attempt_policy.allows(
                attempt_policy.CleanWorker(), task, worker_state, now_s
            )
            and is_usable(worker_state, now_s)
            for worker_state in self.workers.values()
        )

    def find(
        self,
        task: work.Task,
        required: attempt_policy.Requirement,
        now_s: float,
    ) -> worker.Worker | None:
        """Return the worker for a task among those it may use, or None."""
        for _, groups in itertools.groupby(
            self.groups, key=placement_order.standing_of
        ):
            found = self.find_in(tuple(groups), task, required, now_s)
            if found:
                return found
        return None

    def find_in(
        self,
        groups: Sequence[placement_order.Group],
        task: work.Task,
        required: attempt_policy.Requirement,
        now_s: float,
    ) -> worker.Worker | None:
        """Return the worker for a task in groups of rising speed, or None.

        While the workers are full, the tightest fit in all groups comes first:
        every gap is needed, and a larger one left is worth more than speed.
        """
        if self.is_full:
            return self.best_of(groups, task, required, now_s)
        bests = (
            self.best_of((group,), task, required, now_s) for group in groups
        )
        return placement_order.in_time(self.run_times, task, bests, now_s)

    def best_of(
        self,
        groups: Sequence[placement_order.Group],
        task: work.Task,
        required: attempt_policy.Requirement,
        now_s: float,
    ) -> worker.Worker | None:
        """Return the worker of some groups for a task, or None."""
        tightest_first = heapq.merge(
            *(
                self.groups[group].irange((task.need.cpu, ''))
                for group in groups
            )
        )
        fitting = (self.workers[worker_id] for _, worker_id in tightest_first)
        usable = (
            worker_state
            for worker_state in fitting
            if worker_state.fits(task.need)
            and may_start(worker_state, now_s)
            and attempt_policy.allows(required, task, worker_state, now_s)
        )
        if task.constraint == constraints.ANYWHERE:
            candidates = itertools.islice(usable, MAX_CANDIDATES)
            return placement_order.best(candidates, task)
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
        return placement_order.best(near or allowed, task)

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

    def group_sizes(self) -> dict[str, int]:
        """Return the number of workers of each standing and speed class."""
        sizes = {}
        for (standing, speed_class), order in self.groups.items():
            name = standing.name.lower()
            sizes[f'{name} {speed_class}'] = len(order)
        return sizes

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


def may_start(worker_state: worker.Worker, now_s: float) -> bool:
    """Return whether a task may start on a worker at this moment.

    It may not while a lease there has to end because the owner of a run is
    silent; the worker still counts as usable.

    Args:
        worker_state: The worker.
        now_s: Current time, in seconds.
    """
    return not worker_state.has_silent_owner() and is_usable(
        worker_state, now_s
    )


def is_usable(worker_state: worker.Worker, now_s: float) -> bool:
    """Return whether a worker may get a new task.

    Args:
        worker_state: The worker.
        now_s: Current time, in seconds.
    """
    if (
        worker_state.is_withdrawn()
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
