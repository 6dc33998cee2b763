"""Queued jobs of one upstream pool, divided between urgency classes."""

from typing import Any

from guavaroad.domain import jobs
from guavaroad.domain.scheduling import class_queue, entries, policy


class PoolQueue:
    """Chooses the class that the next free slot serves.

    A class below its share goes before any class above it, the most urgent
    first.  What no class claims is lent to the one that is least above its
    share, but for the reserve, which only classes below their share may use.
    """

    def __init__(self, *, parked: entries.Parked) -> None:
        self.classes = {
            urgency: class_queue.ClassQueue(urgency=urgency, parked=parked)
            for urgency in policy.CLASS_ORDER
        }

    def next_class(
        self, rules: policy.Policy, capacity: int, free: int
    ) -> class_queue.ClassQueue | None:
        """Return the class that a free slot serves, if one may use it.

        Args:
            rules: Shares and reserve in force.
            capacity: Slots that this instance may fill in the pool.
            free: Slots of those that are free.

        Returns:
            The class, or none if nothing may start.
        """
        waiting = [
            known for known in self.classes.values() if known.next_team()
        ]
        for below in waiting:
            if below.running < rules.share(below.urgency) * capacity:
                return below
        if not waiting or free <= rules.reserved(capacity):
            return None
        return min(waiting, key=lambda known: load_of(known, rules))

    def lent_slots(
        self, rules: policy.Policy, urgency: jobs.Urgency, capacity: int
    ) -> float:
        """Return the slots that a class can count on at the present demand.

        Args:
            rules: Shares in force.
            urgency: The class.
            capacity: Slots that this instance may fill in the pool.

        Returns:
            Slots, at least its share.
        """
        claimed: float = 0
        for known in self.classes.values():
            if known.urgency is not urgency:
                share = rules.share(known.urgency) * capacity
                claimed += min(share, known.waiting + known.running)
        return max(rules.share(urgency) * capacity, capacity - claimed)

    def describe(self) -> list[dict[str, Any]]:
        """Return every team's queue for the state dump."""
        return [
            {'class': known.urgency.value} | described
            for known in self.classes.values()
            for described in known.describe()
        ]


_LEAST_SHARE = 1e-6


def load_of(known: class_queue.ClassQueue, rules: policy.Policy) -> float:
    """Return the running tasks of a class for each part of its share."""
    return known.running / max(_LEAST_SHARE, rules.share(known.urgency))
