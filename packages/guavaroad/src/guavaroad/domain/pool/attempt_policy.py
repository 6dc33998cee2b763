"""Which workers a task may use after failed attempts.

Handles workers that fail all that they start: a task whose few attempts all
meet such workers fails its job, though others would run it.
"""

import dataclasses
from typing import Final

from guavaroad.domain.pool import work, worker

# Longest wait of a failed task for a better worker, in seconds: in this time
# most pools end many runs, and a client barely notices it.
MAX_WAIT_S: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class AnyWorker:
    """The task may use any worker."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CleanWorker:
    """The task waits for a worker that is not suspected.

    Attributes:
        needs_success_since_s: Time since which the worker must have succeeded,
            in seconds; None if it need not.
    """

    needs_success_since_s: float | None = None


Requirement = AnyWorker | CleanWorker

ANY_WORKER: Final = AnyWorker()


def requirement(task: work.Task, run_s: float, now_s: float) -> Requirement:
    """Return what a task requires of the worker of its next run.

    Args:
        task: The task.
        run_s: Its expected run time, in seconds.
        now_s: Current time, in seconds.
    """
    if not task.failures:
        return ANY_WORKER
    can_wait = (
        now_s - task.failed_s < MAX_WAIT_S
        and now_s + MAX_WAIT_S + run_s < task.job.answer_by_s
    )
    if not can_wait:
        return ANY_WORKER
    if task.failures + 1 >= task.job.max_attempts:
        return CleanWorker(needs_success_since_s=task.failed_s)
    return CleanWorker()


def allows(
    required: Requirement,
    task: work.Task,
    worker_state: worker.Worker,
    now_s: float,
) -> bool:
    """Return whether a worker meets the requirement of a task.

    Args:
        required: The requirement.
        task: The task.
        worker_state: The worker.
        now_s: Current time, in seconds.
    """
    health = worker_state.health
    match required:
        case CleanWorker(needs_success_since_s=since_s):
            if has_failed_on(task, worker_state):
                return False
            if health.is_suspected(now_s):
                return False
            return since_s is None or health.succeeded_s > since_s
    return True


def may_wait(job: work.Job, now_s: float) -> bool:
    """Return whether a task of a job may wait for a better worker."""
    return any(
        task.failures and now_s - task.failed_s < MAX_WAIT_S
        for task in job.waiting.values()
    )


def has_failed_on(task: work.Task, worker_state: worker.Worker) -> bool:
    """Return whether a task has failed on a worker."""
    return worker_state.worker_info.worker_id in task.failed_on


def is_task_at_fault(task: work.Task, worker_state: worker.Worker) -> bool:
    """Return whether a failure is the task's and not the worker's.

    It is if the task has failed elsewhere before, and the worker has succeeded
    since then.

    Args:
        task: Task that has failed, with its earlier failures.
        worker_state: Worker of the failed run.
    """
    return (
        bool(task.failed_on)
        and not has_failed_on(task, worker_state)
        and worker_state.health.succeeded_s > task.failed_s
    )
