"""Demand of one instance for slots, as reported to the slot allocators."""

from typing import Final

from guavaroad.domain import names
from guavaroad.domain.scheduling import class_queue, job_queue, policy
from guavaroad.domain.slots import messages

_MAX_LEVELS_ABOVE_SHARE: Final = 16
# Avoids a division by zero for a class without a share.
_MIN_SHARE_SLOTS: Final = 1e-6


def demand_of(
    queue: job_queue.JobQueue, name: names.PoolName, capacity: int
) -> messages.PoolDemand | None:
    """Return the demand of a pool, described by its least served job.

    Args:
        queue: Queues of the instance.
        name: The pool.
        capacity: Slots from which the shares of the classes are computed.

    Returns:
        The demand, or None if no task may start.
    """
    pool = queue.pool(name)
    next_class = pool.next_class(queue.rules, capacity, capacity + 1)
    team = next_class.next_team() if next_class else None
    job = team.next_job() if team else None
    if next_class is None or team is None or job is None:
        return None
    waiting = sum(
        urgency_queue.waiting for urgency_queue in pool.classes.values()
    )
    return messages.PoolDemand(
        waiting=max(1, waiting - held_tasks(queue, name)),
        level=level_of(next_class, queue.rules, capacity),
        team=team.team,
        team_load=team.running / queue.rules.team(team.team).weight,
        job_load=job.running,
        jobs=len(team.ready.ranks),
    )


def level_of(
    queue: class_queue.ClassQueue, rules: policy.Policy, capacity: int
) -> int:
    """Return the rank of a class, with classes below their share first.

    Args:
        queue: Queue of the class.
        rules: Shares in force.
        capacity: Slots from which the share is computed.

    Returns:
        Position of the class in `policy.CLASS_ORDER` while it is below its
        share, otherwise a higher number that grows with its load.
    """
    slots = rules.share(queue.urgency) * capacity
    if queue.running < slots:
        return policy.CLASS_ORDER.index(queue.urgency)
    load = min(
        _MAX_LEVELS_ABOVE_SHARE, queue.running / max(_MIN_SHARE_SLOTS, slots)
    )
    return len(policy.CLASS_ORDER) + int(load)


def held_tasks(queue: job_queue.JobQueue, name: names.PoolName) -> int:
    """Return the number of waiting tasks of held jobs in a pool."""
    return sum(
        len(queued.waiting)
        for queued in queue.held.values()
        if queued.job.request.pool == name
    )
