"""A queued job and a task chosen from it."""

import collections
import dataclasses

from guavaroad.domain import jobs, names
from guavaroad.domain.submissions import submission


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pick:
    """A task chosen for a slot.

    Attributes:
        job: Its submission.
        index: The task.
        charged_s: Slot-seconds charged to the team in advance.
    """

    job: submission.Submission
    index: names.TaskIndex
    charged_s: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class QueuedJob:
    """One job with tasks that wait or run.

    Attributes:
        job: The submission.
        sequence: Order of arrival.
        size_bytes: Payload bytes of all tasks.
        waiting: Indices of waiting tasks, next first.
        running: Tasks that run now.
        started: Whether any task was ever handed out.
    """

    job: submission.Submission
    sequence: int
    size_bytes: int
    waiting: collections.deque[names.TaskIndex]
    running: int = 0
    started: bool = False

    def ready(self) -> bool:
        """Return whether a task may be taken now."""
        return bool(self.waiting) and not self.job.held

    def rank(self) -> tuple[float, ...]:
        """Return the rank among the jobs of its team: least served first."""
        return (self.running, self.sequence)


# Jobs that wait for the end of their hold.
Parked = dict[names.SubmissionId, QueuedJob]


def size_of(request: jobs.JobRequest) -> int:
    """Return the payload bytes of a job."""
    return sum(len(memoryview(task.payload)) for task in request.tasks)


def queued_job(job: submission.Submission, sequence: int) -> QueuedJob:
    """Return the entry of a job of which nothing has started.

    Args:
        job: The submission.
        sequence: Order of arrival.

    Returns:
        The entry.
    """
    tasks = job.request.tasks
    return QueuedJob(
        job=job,
        sequence=sequence,
        size_bytes=size_of(job.request),
        waiting=collections.deque(map(names.TaskIndex, range(len(tasks)))),
    )
