"""Queued jobs of one upstream pool, divided between urgency classes."""

from typing import Any

from guavaroad.domain import jobs
from guavaroad.domain.scheduling import class_queue, entries, policy


class PoolQueue:
    """Chooses the class that the next free slot serves.

    Classes below their share are served first, the most urgent of them
    first.  Slots that no class below its share needs are lent to the class
    with the lowest load relative to its share, except for the reserve, which
    only classes below their share may use.
    """

    def __init__(self, *, held_jobs: entries.HeldJobs) -> None:
        self.classes = {
            urgency: class_queue.ClassQueue(
                urgency=urgency, held_jobs=held_jobs
            )
            for urgency in policy.CLASS_ORDER
        }

    def next_class(
        self, rules: policy.Policy, capacity: int, free: int
    ) -> class_queue.ClassQueue | None:
        """Return the class that a free slot serves.

        Args:
            rules: Shares and reserve in force.
            capacity: Slots that this instance may fill in the pool.
            free: Number of these slots that are free.

        Returns:
            The class, or None if no task may start.
        """
        waiting = [
            queue for queue in self.classes.values() if queue.next_team()
        ]
        for below in waiting:
            if below.running < rules.share(below.urgency) * capacity:
                return below
        if not waiting or free <= rules.reserved(capacity):
            return None
        return min(waiting, key=lambda queue: load_of(queue, rules))

    def available_slots(
        self, rules: policy.Policy, urgency: jobs.Urgency, capacity: int
    ) -> float:
        """Return the slots available to a class at the present demand.

        Args:
            rules: Shares in force.
            urgency: The class.
            capacity: Slots that this instance may fill in the pool.

        Returns:
            Slots that the other classes do not claim, at least the share.
        """
        claimed: float = 0
        for queue in self.classes.values():
            if queue.urgency is not urgency:
                share = rules.share(queue.urgency) * capacity
                claimed += min(share, queue.waiting + queue.running)
        return max(rules.share(urgency) * capacity, capacity - claimed)

    def describe(self) -> list[dict[str, Any]]:
        """Return the queue of every team for the state dump."""
        return [
            {'class': queue.urgency.value} | described
            for queue in self.classes.values()
            for described in queue.describe()
        ]


# Avoids a division by zero for a class without a share.
_MIN_SHARE = 1e-6


def load_of(queue: class_queue.ClassQueue, rules: policy.Policy) -> float:
    """Return the running tasks of a class divided by its share."""
    return queue.running / max(_MIN_SHARE, rules.share(queue.urgency))
