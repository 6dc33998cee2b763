"""Queued jobs of one instance, and which task goes next."""

import collections
import dataclasses

from guavaroad.domain import jobs, names
from guavaroad.domain.submissions import submission

_CLASS_ORDER = (jobs.Urgency.URGENT, jobs.Urgency.NORMAL, jobs.Urgency.LOW)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pick:
    """A task chosen for a slot."""

    job: submission.Submission
    index: names.TaskIndex


@dataclasses.dataclass(slots=True, kw_only=True)
class QueuedJob:
    """One job with tasks that wait or run.

    Attributes:
        job: The submission.
        waiting: Indices of waiting tasks, next first.
        running: Tasks that run now.
    """

    job: submission.Submission
    waiting: collections.deque[names.TaskIndex]
    running: int = 0


class JobQueue:
    """Jobs by submission id; the most urgent and least served goes next."""

    def __init__(self) -> None:
        self.jobs: dict[names.SubmissionId, QueuedJob] = {}
        self.task_count = 0

    def add(self, job: submission.Submission) -> None:
        """Queue every task of a job."""
        indices = map(names.TaskIndex, range(len(job.slots)))
        queued = QueuedJob(job=job, waiting=collections.deque(indices))
        self.jobs[job.request.submission_id] = queued
        self.task_count += len(queued.waiting)

    def remove(self, submission_id: names.SubmissionId) -> None:
        """Forget a job and its waiting tasks."""
        queued = self.jobs.pop(submission_id, None)
        if queued is not None:
            self.task_count -= len(queued.waiting)

    def pick(self, pool: names.PoolName) -> Pick | None:
        """Take the next task for a slot of a pool, if one waits."""
        waiting = [
            queued
            for queued in self.jobs.values()
            if queued.waiting
            and queued.job.request.pool == pool
            and not queued.job.held
        ]
        if not waiting:
            return None
        chosen = min(waiting, key=_rank)
        chosen.running += 1
        self.task_count -= 1
        return Pick(job=chosen.job, index=chosen.waiting.popleft())

    def ended(self, submission_id: names.SubmissionId) -> None:
        """Count down the running tasks of a job."""
        queued = self.jobs.get(submission_id)
        if queued is not None:
            queued.running -= 1

    def put_back(self, pick: Pick) -> None:
        """Queue a task again whose attempt provably started nothing."""
        queued = self.jobs.get(pick.job.request.submission_id)
        if queued is not None:
            queued.waiting.appendleft(pick.index)
            self.task_count += 1


def _rank(queued: QueuedJob) -> tuple[int, int]:
    return (_CLASS_ORDER.index(queued.job.request.urgency), queued.running)
