"""Placement constraints of a task."""

from typing import Final

import msgspec


class Constraint(msgspec.Struct, frozen=True, array_like=True):
    """What a task requires of its worker.

    Attributes:
        label: Label that the worker must have; empty for any worker.
        rack: Label of the rack that holds the task's data; empty for none. The
            task may run on another rack but takes longer there.
        most_per_worker: Maximum number of tasks of the same step on one worker;
            0 for no limit.
    """

    label: str = ''
    rack: str = ''
    most_per_worker: int = 0

    def allows(self, labels: tuple[str, ...]) -> bool:
        """Return whether a worker with these labels may run the task."""
        return not self.label or self.label in labels

    def is_near(self, labels: tuple[str, ...]) -> bool:
        """Return whether a worker with these labels is near the data."""
        return not self.rack or self.rack in labels


ANYWHERE: Final = Constraint()
