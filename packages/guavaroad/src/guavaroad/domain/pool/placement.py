"""Which worker gets a task.

Answers the load pattern in which tasks nearly fill a worker: the tightest fit
keeps whole gaps for the tasks to come.  The workers stand ordered by free
cores, so that a choice costs the same however many there are.
"""

import itertools
from collections.abc import Iterator
from typing import Final

import sortedcontainers

from guavaroad.domain.pool import constraints, values, work, worker

# Fits that are weighed against each other; more cost time, and the next ones
# leave wider gaps.
CANDIDATES: Final = 8
# A worker may be missing from a list that came back a moment ago; entries
# return within 2 s.
UNLISTED_GRACE_S: Final = 2.5


class RoomIndex:
    """Workers of one pool by their free cores.

    Attributes:
        order: Free thousandths of a core and id, ascending.
        workers: Workers by id.
        filed: Free cores under which a worker stands in the order.
        free_cpu: Free thousandths of a core of all of them.
    """

    def __init__(self) -> None:
        self.order: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.workers: dict[values.WorkerId, worker.Worker] = {}
        self.filed: dict[values.WorkerId, int] = {}
        self.free_cpu = 0

    def refile(self, one: worker.Worker) -> None:
        """Put a worker where its free cores belong."""
        worker_id = one.facts.worker_id
        filed = self.filed.get(worker_id)
        if filed == one.free_cpu:
            return
        if filed is not None:
            self.order.remove((filed, worker_id))
        self.order.add((one.free_cpu, worker_id))
        self.free_cpu += one.free_cpu - (filed or 0)
        self.filed[worker_id] = one.free_cpu
        self.workers[worker_id] = one

    def drop(self, worker_id: values.WorkerId) -> None:
        """Forget a worker."""
        filed = self.filed.pop(worker_id, None)
        if filed is not None:
            self.order.remove((filed, worker_id))
            self.free_cpu -= filed
            self.workers.pop(worker_id)

    def choose(self, task: work.Task, now_s: float) -> worker.Worker | None:
        """Return the worker for a task, or none.

        Args:
            task: Task that needs room.
            now_s: Time.
        """
        fitting = (
            self.workers[worker_id]
            for _, worker_id in self.order.irange((task.need.cpu, ''))
        )
        usable = (
            one
            for one in fitting
            if one.fits(task.need) and is_usable(one, now_s)
        )
        if task.constraint == constraints.ANYWHERE:
            candidates = itertools.islice(usable, CANDIDATES)
            return min(candidates, key=_pace_of, default=None)
        return self.choose_constrained(task, usable)

    def choose_constrained(
        self, task: work.Task, usable: Iterator[worker.Worker]
    ) -> worker.Worker | None:
        """Return the worker for a task with conditions: near its data first."""
        asked = task.constraint
        allowed = [
            one
            for one in usable
            if asked.allows(one.facts.labels) and has_share(one, task)
        ]
        near = [one for one in allowed if asked.is_near(one.facts.labels)]
        return min(near or allowed, key=_pace_of, default=None)

    def could_run(self, task: work.Task) -> bool:
        """Return whether any listed worker has the size and the label."""
        return any(
            task.constraint.allows(one.facts.labels)
            and one.facts.capacity.cpu >= task.need.cpu
            and one.facts.capacity.memory_mb >= task.need.memory_mb
            and one.facts.capacity.gpu >= task.need.gpu
            for one in self.workers.values()
        )

    def runs(self) -> Iterator[worker.Run]:
        """Yield what runs on the workers."""
        for one in self.workers.values():
            yield from one.runs.values()

    def cores(self, now_s: float) -> float:
        """Return the cores of the workers that take tasks."""
        return sum(
            one.facts.capacity.cpu / values.CPU_MILLIS_PER_CORE
            for one in self.workers.values()
            if is_usable(one, now_s)
        )


def is_usable(one: worker.Worker, now_s: float) -> bool:
    """Return whether a worker may have a new task.

    Args:
        one: The worker.
        now_s: Time.
    """
    if one.facts.draining or not one.readable or one.unclaimed_runs:
        return False
    missing_s = one.unlisted_s
    if missing_s is not None and now_s - missing_s > UNLISTED_GRACE_S:
        return False
    return one.standing.allows(now_s, len(one.runs))


def has_share(one: worker.Worker, task: work.Task) -> bool:
    """Return whether a worker may have one more task of a step."""
    most = task.constraint.most_per_worker
    if not most:
        return True
    alike = sum(
        1
        for run in one.runs.values()
        if run.task.job is task.job and run.task.step == task.step
    )
    return alike < most


def _pace_of(one: worker.Worker) -> float:
    return one.standing.pace
