"""Which jobs are refused on arrival, and which are evicted on overflow."""

import dataclasses
import random
from typing import Final

from guavaroad.domain import codes, jobs
from guavaroad.domain.scheduling import entries, job_queue
from guavaroad.domain.submissions import submission

_MIN_RETRY_AFTER_S: Final = 0.5
_MAX_RETRY_AFTER_S: Final = 60
_MIN_JITTER_FACTOR: Final = 0.5
_MAX_JITTER_FACTOR: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Upper bounds on the work queued at one instance.

    Attributes:
        tasks: Maximum number of waiting tasks.
        size_bytes: Maximum payload bytes of all queued jobs.
    """

    tasks: int
    size_bytes: int


class Admission:
    """Refuses jobs that would wait too long and bounds the queue."""

    def __init__(
        self,
        *,
        queue: job_queue.JobQueue,
        bounds: Bounds,
        rng: random.Random,
    ) -> None:
        self.queue = queue
        self.bounds = bounds
        self.rng = rng

    def expected_wait_s(self, request: jobs.JobRequest, capacity: int) -> float:
        """Return the expected wait before the last task of a job starts.

        Jobs of a team take turns, so each waiting job delays a new one by at
        most as many tasks as the new job has itself.

        Args:
            request: The job, queued or not.
            capacity: Slots that this instance may fill in the pool.

        Returns:
            Seconds; 0 while the capacity is not known.
        """
        slots = team_slots(self.queue, request, capacity)
        if not slots:
            return 0
        pool = self.queue.pool(request.pool)
        team = pool.classes[request.urgency].team(request.team)
        own_tasks = len(request.tasks)
        tasks_ahead = min(team.waiting, own_tasks * len(team.jobs))
        return tasks_ahead * self.queue.run_times.overall_s / slots

    def refusal(
        self, request: jobs.JobRequest, capacity: int, now_s: float
    ) -> jobs.JobNotCompleted | None:
        """Return the reason to refuse a job, if there is one.

        Args:
            request: The validated job; none of its tasks has started.
            capacity: Slots that this instance may fill in the pool.
            now_s: Monotonic time in seconds.

        Returns:
            The refusal, or None if the job may be queued.
        """
        wait_s = self.expected_wait_s(request, capacity)
        team = self.queue.teams.total(request.team)
        quota = self.queue.rules.team(request.team).max_queued_tasks
        if team.tasks + len(request.tasks) > quota:
            return self.build_refusal(codes.ResultCode.OVER_QUOTA, wait_s)
        if now_s + wait_s > request.deadline_s:
            return self.build_refusal(codes.ResultCode.OVERLOADED, wait_s)
        if self.fits(request) or self.can_evict_for(request):
            return None
        return self.build_refusal(codes.ResultCode.OVERLOADED, wait_s)

    def build_refusal(
        self, code: codes.ResultCode, wait_s: float
    ) -> jobs.JobNotCompleted:
        """Return a refusal with a jittered retry hint."""
        jitter = self.rng.uniform(_MIN_JITTER_FACTOR, _MAX_JITTER_FACTOR)
        base_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        return jobs.JobNotCompleted(
            code=code,
            detail=codes.info_of(code).meaning,
            retry_after_s=round(base_s * jitter, 3),
        )

    def fits(self, request: jobs.JobRequest) -> bool:
        """Return whether a job fits into the queue within its bounds."""
        tasks = self.queue.task_count + len(request.tasks)
        size_bytes = self.queue.size_bytes + entries.size_of(request)
        return (
            tasks <= self.bounds.tasks and size_bytes <= self.bounds.size_bytes
        )

    def can_evict_for(self, request: jobs.JobRequest) -> bool:
        """Return whether a job may displace work of another team.

        It may if another team would still have the larger weighted backlog
        after the job was queued.
        """
        if len(request.tasks) > self.bounds.tasks:
            return False
        if entries.size_of(request) > self.bounds.size_bytes:
            return False
        largest = self.queue.most_backlogged_team()
        if largest is None:
            return False
        return self.queue.weighted_backlog(
            largest
        ) > self.queue.weighted_backlog(request.team, len(request.tasks))

    def overflow_victim(self) -> submission.Submission | None:
        """Return the job to evict while the queue exceeds its bounds.

        Returns:
            The newest unstarted job of the team with the largest weighted
            backlog, or None if the queue is within its bounds.
        """
        is_over = (
            self.queue.task_count > self.bounds.tasks
            or self.queue.size_bytes > self.bounds.size_bytes
        )
        return self.queue.eviction_candidate() if is_over else None


def team_slots(
    queue: job_queue.JobQueue, request: jobs.JobRequest, capacity: int
) -> float:
    """Return the slots available to a team within a class.

    Args:
        queue: Queues of the instance.
        request: A job of the team, queued or not.
        capacity: Slots that this instance may fill in the pool.

    Returns:
        The team's portion of the slots of the class, by weight among the
        teams with work in the class.
    """
    pool = queue.pool(request.pool)
    slots = pool.available_slots(queue.rules, request.urgency, capacity)
    active = pool.classes[request.urgency].active_teams() | {request.team}
    weights = {team: queue.rules.team(team).weight for team in active}
    return slots * weights[request.team] / sum(weights.values())
