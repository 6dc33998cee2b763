"""Queue entries: a queued job and a task picked from it."""

import collections
import dataclasses

from guavaroad.domain import jobs, names
from guavaroad.domain.submissions import submission


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pick:
    """A task picked for a slot.

    Attributes:
        job: Submission of the task.
        index: Index of the task.
        charged_s: Slot-seconds charged to the team in advance.
    """

    job: submission.Submission
    index: names.TaskIndex
    charged_s: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class QueuedJob:
    """A job with waiting or running tasks.

    Attributes:
        job: The submission.
        sequence: Arrival number.
        size_bytes: Payload bytes of all tasks.
        waiting: Indices of the waiting tasks, next first.
        running: Number of running tasks.
        started: Whether any task was ever taken from the queue.
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
        """Return the rank within the team: fewest running tasks first."""
        return (self.running, self.sequence)


# Jobs with waiting tasks that may not start until their hold ends.
HeldJobs = dict[names.SubmissionId, QueuedJob]


def size_of(request: jobs.JobRequest) -> int:
    """Return the payload size of a job in bytes."""
    return sum(len(memoryview(task.payload)) for task in request.tasks)


def queued_job(job: submission.Submission, sequence: int) -> QueuedJob:
    """Return the queue entry of a job with all its tasks waiting.

    Args:
        job: The submission.
        sequence: Arrival number.

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
