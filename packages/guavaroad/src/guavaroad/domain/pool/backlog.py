"""Jobs with tasks that wait for a worker, in the order of service.

Guards against a flood of one kind of work. Jobs that can still meet their
latency objective go before jobs that can't, then more urgent before less
urgent, then older before newer. A job with started tasks goes first within its
urgency, since its client gets nothing for a part of a job. A placement pass
examines only the heads of the queues, so its cost does not grow with their
length.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator
from typing import Final

import sortedcontainers

from guavaroad.domain.pool import admission, values, work

_LOWEST_URGENCY: Final = 9
# Jobs at the head of a queue that one pass examines.
MAX_HEADS: Final = 16
# Jobs of one urgency that are tried for a gap that the heads don't fit into.
MAX_FITTING: Final = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Lane:
    """Waiting jobs of one urgency.

    Attributes:
        on_time: Jobs that can still meet their latency objective.
        late: Jobs that can't.
        core_s: Estimated core-seconds of all their waiting tasks.
        late_core_s: Estimated core-seconds of the waiting tasks of late jobs.
        by_need: Jobs without a start that can still meet their objective, by
            the cores of their largest task; each with a number that makes it
            unique.
    """

    on_time: collections.deque[work.Job] = dataclasses.field(
        default_factory=collections.deque
    )
    late: collections.deque[work.Job] = dataclasses.field(
        default_factory=collections.deque
    )
    core_s: float = 0
    late_core_s: float = 0
    by_need: sortedcontainers.SortedKeyList = dataclasses.field(
        default_factory=lambda: sortedcontainers.SortedKeyList(key=_need_key)
    )

    def on_time_core_s(self) -> float:
        """Return the core-seconds of the jobs that aren't late."""
        return max(self.core_s - self.late_core_s, 0)

    def move_late(self, now_s: float) -> None:
        """Move jobs at the head that have become late to the late queue."""
        while self.on_time:
            head = self.on_time[0]
            if head.waiting and is_on_time(head, now_s):
                return
            self.on_time.popleft()
            if head.waiting:
                self.late.append(head)
                self.mark_late(head)

    def mark_late(self, job: work.Job) -> None:
        """Count a job as late, once."""
        if job.queued_late:
            return
        job.queued_late = True
        self.late_core_s += sum(map(_core_s, job.waiting.values()))
        self.by_need.discard(job)

    def count(self, task: work.Task, sign: int) -> None:
        """Add the core-seconds of a waiting task, or subtract them."""
        self.core_s += sign * _core_s(task)
        if task.job.queued_late:
            self.late_core_s += sign * _core_s(task)


def is_on_time(job: work.Job, now_s: float) -> bool:
    """Return whether a job is queued ahead of the late ones.

    A started job always is: the work left is less than that of a whole job.
    """
    return job.may_have_started or job.objective_start_s >= now_s


class Backlog:
    """Waiting jobs of one pool.

    Attributes:
        lanes: Lanes by urgency, in ascending order.
        queued: Jobs that are in a lane.
    """

    def __init__(self) -> None:
        self.lanes: dict[int, Lane] = {}
        self.queued: set[work.Job] = set()

    def lane_of(self, job: work.Job) -> Lane:
        """Return the lane of a job; create it if needed."""
        urgency = min(job.urgency, _LOWEST_URGENCY)
        lane = self.lanes.get(urgency)
        if lane is None:
            lane = Lane()
            self.lanes[urgency] = lane
            self.lanes = dict(sorted(self.lanes.items()))
        return lane

    def add(self, task: work.Task, now_s: float) -> None:
        """Add a task to the waiting tasks of its job.

        Args:
            task: Task to add.
            now_s: Current time, in seconds.
        """
        job = task.job
        lane = self.lane_of(job)
        job.waiting[task.name] = task
        is_queued = job in self.queued
        if not is_queued:
            job.queued_late = not is_on_time(job, now_s)
        lane.count(task, 1)
        if is_queued:
            return
        self.queued.add(job)
        queue = lane.late if job.queued_late else lane.on_time
        if not job.queued_late and not job.may_have_started:
            lane.by_need.add(job)
        if job.may_have_started:
            queue.appendleft(job)
        else:
            queue.append(job)

    def remove_task(self, task: work.Task) -> None:
        """Remove a task that has been placed."""
        job = task.job
        job.waiting.pop(task.name)
        lane = self.lane_of(job)
        lane.count(task, -1)
        lane.by_need.discard(job)
        if not job.waiting:
            self.queued.discard(job)

    def remove_job(self, job: work.Job) -> None:
        """Remove the waiting tasks of a job.

        The job itself leaves its lane when it reaches the head.
        """
        lane = self.lane_of(job)
        for task in job.waiting.values():
            lane.count(task, -1)
        lane.by_need.discard(job)
        job.waiting.clear()
        self.queued.discard(job)

    def heads(
        self, now_s: float, levels: Iterable[int] | None = None
    ) -> Iterator[work.Job]:
        """Yield the first jobs of each lane in the order of service.

        Args:
            now_s: Current time, in seconds; decides which jobs are late.
            levels: The urgencies in their order; ascending by default.

        Yields:
            Jobs with waiting tasks.
        """
        for level in tuple(self.lanes) if levels is None else levels:
            lane = self.lanes[level]
            lane.move_late(now_s)
            yield from _waiting_heads(lane.on_time)
        for lane in self.lanes.values():
            yield from _waiting_heads(lane.late)

    def on_time_core_s(self, urgency: int = _LOWEST_URGENCY) -> float:
        """Return the waiting core-seconds that go before a new job.

        Late jobs don't: they are served after all others.

        Args:
            urgency: Urgency of the job.
        """
        return sum(
            lane.on_time_core_s()
            for level, lane in self.lanes.items()
            if level <= urgency
        )

    def fitting(self, gap_cpu: int) -> Iterator[work.Job]:
        """Yield jobs without a start whose tasks fit into a gap.

        The largest go first within their urgency, as they fill it best.

        Args:
            gap_cpu: Free thousandths of a core of the emptiest worker.

        Yields:
            At most MAX_FITTING jobs of each urgency.
        """
        for lane in self.lanes.values():
            found = lane.by_need.irange_key(
                max_key=(gap_cpu, float('inf')), reverse=True
            )
            yield from tuple(itertools.islice(found, MAX_FITTING))

    def late_jobs(self, urgency: int) -> list[work.Job]:
        """Return the late jobs of an urgency of which no task has started."""
        return [
            job
            for job in self.lanes[urgency].late
            if job.waiting and not job.may_have_started
        ]

    def core_s_ahead(self, urgency: int) -> float:
        """Return the waiting core-seconds of this and higher urgencies."""
        return sum(
            lane.core_s
            for level, lane in self.lanes.items()
            if level <= urgency
        )

    def expired_jobs(self, now_s: float) -> list[work.Job]:
        """Return the waiting jobs that are to be given up."""
        found: list[work.Job] = []
        for lane in self.lanes.values():
            lane.move_late(now_s)
            for queue in (lane.late, lane.on_time):
                found.extend(_expired_jobs(queue, now_s))
        return found


def cannot_meet_deadline(job: work.Job, now_s: float) -> bool:
    """Return whether a job with waiting tasks is to be given up."""
    if not job.may_have_started:
        return job.give_up_s <= now_s
    return now_s + admission.STARTED_SHARE * job.estimate_s > job.answer_by_s


def _need_key(job: work.Job) -> tuple[int, float, str]:
    largest = max(task.need.cpu for task in job.tasks)
    # Of equals the oldest is tried first.
    return largest, -job.arrived_s, job.job_id


def _core_s(task: work.Task) -> float:
    return task.need.cpu * task.estimate_s / values.CPU_MILLIS_PER_CORE


def _waiting_heads(queue: collections.deque[work.Job]) -> Iterator[work.Job]:
    while queue and not queue[0].waiting:
        queue.popleft()
    # Iterates over a copy: the caller may queue a job again meanwhile.
    for job in tuple(itertools.islice(queue, MAX_HEADS)):
        if job.waiting:
            yield job


def _expired_jobs(
    queue: collections.deque[work.Job], now_s: float
) -> Iterator[work.Job]:
    for job in tuple(queue):
        if job.waiting and cannot_meet_deadline(job, now_s):
            yield job
