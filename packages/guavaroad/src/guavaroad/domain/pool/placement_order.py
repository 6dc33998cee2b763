"""Order of the workers that a task may use.

Answers uneven workers, and workers that fail: those that are suspected come
after all others; among the rest, the slowest on which the task will be in time
comes first.
"""

import enum
import functools
from collections.abc import Iterable
from typing import Final

from guavaroad.domain.pool import run_times, work, worker


class Standing(enum.IntEnum):
    """Turn of a worker; a lower one comes first."""

    CLEAN = 0
    SLOWED = 1
    SUSPECTED = 2


# Workers that are alike, in the order in which they are examined.
Group = tuple[Standing, run_times.SpeedClass]

USUAL_GROUP: Final = (Standing.CLEAN, run_times.SpeedClass(0))


def standing_of(group: Group) -> Standing:
    """Return the standing of the workers of a group."""
    return group[0]


def group_of(
    worker_state: worker.Worker, times: run_times.RunTimes, now_s: float
) -> Group:
    """Return the group of a worker."""
    speed_class = times.class_of(worker_state, now_s)
    if worker_state.health.is_suspected(now_s):
        return Standing.SUSPECTED, speed_class
    if times.is_slowed(worker_state, now_s):
        return Standing.SLOWED, speed_class
    return Standing.CLEAN, speed_class


def best(
    candidates: Iterable[worker.Worker], task: work.Task
) -> worker.Worker | None:
    """Return the preferred one of the workers of a group, or None."""
    return min(
        candidates, key=functools.partial(_preference, task), default=None
    )


def in_time(
    times: run_times.RunTimes,
    task: work.Task,
    bests: Iterable[worker.Worker | None],
    now_s: float,
) -> worker.Worker | None:
    """Return the slowest worker on which a task will be in time.

    If there is none, the fastest one. Faster workers are not examined if one
    will do.

    Args:
        times: Expected run times.
        task: The task.
        bests: The preferred worker of each group, if any, of rising speed.
        now_s: Current time, in seconds.

    Returns:
        The worker; None if there is none.
    """
    left_s = time_for(task, now_s)
    found = []
    for worker_state in bests:
        if worker_state is None:
            continue
        flags = _preference_flags(task, worker_state)
        run_s = times.cautious_on_s(task, worker_state, now_s)
        if not flags and run_s <= left_s:
            return worker_state
        found.append((flags, max(run_s, left_s), worker_state))
    return min(found, key=_flags_and_run_s)[-1] if found else None


def time_for(task: work.Task, now_s: float) -> float:
    """Return the run time with which a task's job is in time, in seconds.

    The steps that are not done share the time that is left.
    """
    job = task.job
    left_s = job.objective_start_s + job.estimate_s - now_s
    open_share = job.open_tasks / max(len(job.tasks), 1)
    open_s = job.estimate_s * open_share if len(job.after) > 1 else 0
    if open_s <= task.estimate_s:
        return left_s
    return left_s * task.estimate_s / open_s


def _flags_and_run_s(
    candidate: tuple[int, float, worker.Worker],
) -> tuple[int, float]:
    return candidate[:2]


def _preference(
    task: work.Task, worker_state: worker.Worker
) -> tuple[int, float]:
    health = worker_state.health
    return _preference_flags(task, worker_state), health.run_time_ratio


def _preference_flags(task: work.Task, worker_state: worker.Worker) -> int:
    worker_id = worker_state.worker_info.worker_id
    is_far = not task.constraint.is_near(worker_state.worker_info.labels)
    has_refused = worker_id == task.refused_by
    has_failed = worker_id in task.failed_on
    # Tasks that were lost together would be lost together again.
    is_suspected_too = bool(task.losses) and worker_state.has_suspect()
    # An ejected worker is tried with a task that has attempts left to lose.
    is_probe = bool(task.failures) and worker_state.health.probing
    weights = (is_probe, is_suspected_too, has_failed, has_refused, is_far)
    return sum(flag << place for place, flag in enumerate(weights))
