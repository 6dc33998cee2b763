"""Which jobs are refused before anything of them runs, and which evicted."""

import dataclasses
import random
from typing import Final

from guavaroad.domain import codes, jobs
from guavaroad.domain.scheduling import entries, job_queue
from guavaroad.domain.submissions import submission

_LEAST_RETRY_S: Final = 0.5
_MOST_RETRY_S: Final = 60
_LEAST_JITTER: Final = 0.5
_MOST_JITTER: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Most work that may wait at one instance.

    Attributes:
        tasks: Tasks in all.
        size_bytes: Payload bytes in all.
    """

    tasks: int
    size_bytes: int


class Admission:
    """Refuses early what would wait too long; bounds what waits."""

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
        """Return the wait expected before the last task of a job starts.

        Jobs of a team take turns, so a waiting job delays a new one by no
        more tasks than the new one has itself.

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
        own = len(request.tasks)
        ahead = min(team.waiting, own * len(team.jobs))
        return ahead * self.queue.run_times.overall_s / slots

    def refusal(
        self, request: jobs.JobRequest, capacity: int, now_s: float
    ) -> jobs.JobEnded | None:
        """Return why a job can't be queued, if it can't.

        Args:
            request: The checked job; nothing of it runs.
            capacity: Slots that this instance may fill in the pool.
            now_s: Monotonic time.

        Returns:
            A refusal that is true whatever the client does next.
        """
        wait_s = self.expected_wait_s(request, capacity)
        team = self.queue.teams.total(request.team)
        quota = self.queue.rules.team(request.team).max_queued_tasks
        if team.tasks + len(request.tasks) > quota:
            return self.refused(codes.ResultCode.OVER_QUOTA, wait_s)
        if now_s + wait_s > request.deadline_s:
            return self.refused(codes.ResultCode.OVERLOADED, wait_s)
        if self.fits(request) or self.has_victims(request):
            return None
        return self.refused(codes.ResultCode.OVERLOADED, wait_s)

    def refused(self, code: codes.ResultCode, wait_s: float) -> jobs.JobEnded:
        """Return a refusal with a jittered hint when to try again."""
        jitter = self.rng.uniform(_LEAST_JITTER, _MOST_JITTER)
        base_s = min(_MOST_RETRY_S, max(_LEAST_RETRY_S, wait_s))
        return jobs.JobEnded(
            code=code,
            detail=codes.info_of(code).meaning,
            retry_after_s=round(base_s * jitter, 3),
        )

    def fits(self, request: jobs.JobRequest) -> bool:
        """Return whether the bounds have room for a job."""
        tasks = self.queue.task_count + len(request.tasks)
        size_bytes = self.queue.size_bytes + entries.size_of(request)
        return (
            tasks <= self.bounds.tasks and size_bytes <= self.bounds.size_bytes
        )

    def has_victims(self, request: jobs.JobRequest) -> bool:
        """Return whether another team is further over its share."""
        if len(request.tasks) > self.bounds.tasks:
            return False
        if entries.size_of(request) > self.bounds.size_bytes:
            return False
        furthest = self.queue.furthest_team()
        if furthest is None:
            return False
        return self.queue.excess(furthest) > self.queue.excess(
            request.team, len(request.tasks)
        )

    def overflow_victim(self) -> submission.Submission | None:
        """Return the job to end so that the queue keeps its bounds.

        Returns:
            The newest job, of which nothing started, of the team that is
            furthest over its share; none if the bounds are kept.
        """
        over = (
            self.queue.task_count > self.bounds.tasks
            or self.queue.size_bytes > self.bounds.size_bytes
        )
        return self.queue.newest_of_furthest() if over else None


def team_slots(
    queue: job_queue.JobQueue, request: jobs.JobRequest, capacity: int
) -> float:
    """Return the slots that a team can count on in a class.

    Args:
        queue: Queues of the instance.
        request: A job of the team, queued or not.
        capacity: Slots that this instance may fill in the pool.

    Returns:
        Its part, by weight among the busy teams, of the class's slots.
    """
    pool = queue.pool(request.pool)
    slots = pool.lent_slots(queue.rules, request.urgency, capacity)
    busy = pool.classes[request.urgency].busy_teams() | {request.team}
    weights = {team: queue.rules.team(team).weight for team in busy}
    return slots * weights[request.team] / sum(weights.values())
