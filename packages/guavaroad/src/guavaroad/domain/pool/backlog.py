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
from collections.abc import Iterator
from typing import Final

from guavaroad.domain.pool import admission, values, work

_LOWEST_URGENCY: Final = 9
# Jobs at the head of a queue that one pass examines.
MAX_HEADS: Final = 16


@dataclasses.dataclass(slots=True, kw_only=True)
class Lane:
    """Waiting jobs of one urgency.

    Attributes:
        on_time: Jobs that can still meet their latency objective.
        late: Jobs that can't.
        core_s: Estimated core-seconds of all their waiting tasks.
    """

    on_time: collections.deque[work.Job] = dataclasses.field(
        default_factory=collections.deque
    )
    late: collections.deque[work.Job] = dataclasses.field(
        default_factory=collections.deque
    )
    core_s: float = 0

    def move_late(self, now_s: float) -> None:
        """Move jobs at the head that have become late to the late queue."""
        while self.on_time:
            head = self.on_time[0]
            if head.waiting and is_on_time(head, now_s):
                return
            self.on_time.popleft()
            if head.waiting:
                self.late.append(head)


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
        lane.core_s += _core_s(task)
        if job in self.queued:
            return
        self.queued.add(job)
        queue = lane.on_time if is_on_time(job, now_s) else lane.late
        if job.may_have_started:
            queue.appendleft(job)
        else:
            queue.append(job)

    def remove_task(self, task: work.Task) -> None:
        """Remove a task that has been placed."""
        job = task.job
        job.waiting.pop(task.name)
        self.lane_of(job).core_s -= _core_s(task)
        if not job.waiting:
            self.queued.discard(job)

    def remove_job(self, job: work.Job) -> None:
        """Remove the waiting tasks of a job.

        The job itself leaves its lane when it reaches the head.
        """
        lane = self.lane_of(job)
        for task in job.waiting.values():
            lane.core_s -= _core_s(task)
        job.waiting.clear()
        self.queued.discard(job)

    def heads(self, now_s: float) -> Iterator[work.Job]:
        """Yield the first jobs of each lane in the order of service.

        Args:
            now_s: Current time, in seconds; decides which jobs are late.

        Yields:
            Jobs with waiting tasks.
        """
        for lane in self.lanes.values():
            lane.move_late(now_s)
            yield from _waiting_heads(lane.on_time)
        for lane in self.lanes.values():
            yield from _waiting_heads(lane.late)

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
