"""What one instance waits for, told to the allocators of slots."""

from typing import Final

from guavaroad.domain import names
from guavaroad.domain.scheduling import class_queue, job_queue, policy
from guavaroad.domain.slots import messages

_LEVELS_ABOVE: Final = 16
_LEAST_SLOTS: Final = 1e-6


def demand_of(
    queue: job_queue.JobQueue, name: names.PoolName, capacity: int
) -> messages.PoolDemand | None:
    """Return the demand of a pool, described by its least served job.

    Args:
        queue: Queues of the instance.
        name: The pool.
        capacity: Slots by which shares of classes are counted.

    Returns:
        The demand; none if no task may start.
    """
    pool = queue.pool(name)
    chosen = pool.next_class(queue.rules, capacity, capacity + 1)
    team = chosen.next_team() if chosen else None
    job = team.next_job() if team else None
    if chosen is None or team is None or job is None:
        return None
    waiting = sum(known.waiting for known in pool.classes.values())
    return messages.PoolDemand(
        waiting=max(1, waiting - held_tasks(queue, name)),
        level=level_of(chosen, queue.rules, capacity),
        team=team.team,
        team_load=team.running / queue.rules.team(team.team).weight,
        job_load=job.running,
        jobs=len(team.ready.ranks),
    )


def level_of(
    known: class_queue.ClassQueue, rules: policy.Policy, capacity: int
) -> int:
    """Return the rank of a class: those below their share come first.

    Args:
        known: Queue of the class.
        rules: Shares in force.
        capacity: Slots by which the share is counted.

    Returns:
        Its place among the classes while below its share, else a number
        that grows with its load.
    """
    slots = rules.share(known.urgency) * capacity
    if known.running < slots:
        return policy.CLASS_ORDER.index(known.urgency)
    load = min(_LEVELS_ABOVE, known.running / max(_LEAST_SLOTS, slots))
    return len(policy.CLASS_ORDER) + int(load)


def held_tasks(queue: job_queue.JobQueue, name: names.PoolName) -> int:
    """Return the waiting tasks of a pool's held jobs."""
    return sum(
        len(queued.waiting)
        for queued in queue.held.values()
        if queued.job.request.pool == name
    )
