"""Workers that were lost while they ran a task.

Handles a task that crashes each worker that starts it: unless it is given up,
it takes one worker after another from all other jobs.

A lease that has lapsed does not show whether the worker has crashed or is cut
off. Such a loss is suspected until the worker answers again: it has crashed if
it has restarted, and the task is cleared if it has not. The loss stays
suspected if the worker had not answered the start before it restarted.
"""

import dataclasses
from typing import Final, NewType

from guavaroad.domain.pool import generations, values

# Workers that a task may crash before it is given up.
MAX_CRASHES: Final = 2
# The same, with those that have not answered since. More are needed, as workers
# that are cut off are counted until they answer.
MAX_LOSSES: Final = 3
# Minimum retention of the losses of a task, in seconds. Clients send the job
# again for a multiple of their timeout.
RETENTION_S: Final = 60

Incarnation = NewType('Incarnation', str)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashRecord:
    """Losses of workers under one task.

    Attributes:
        crashed: Incarnations of workers that have restarted since.
        silent: Incarnations that have not answered since, or not the start.
        earlier: Losses that other allocators have recorded.
    """

    crashed: frozenset[Incarnation] = frozenset()
    silent: frozenset[Incarnation] = frozenset()
    earlier: int = 0

    def losses(self) -> int:
        """Return the number of workers that were lost."""
        return len(self.crashed) + len(self.silent) + self.earlier

    def is_proven(self) -> bool:
        """Return whether it is certain that the task crashes workers."""
        return len(self.crashed) >= MAX_CRASHES


_NO_LOSSES: Final = CrashRecord()


class CrashRecords:
    """Losses of workers by task.

    Attributes:
        records: Records by task, retained for a limited time.
        begun_s: Since when losses are recorded, in seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self.begun_s = now_s
        self.records: generations.Generations[values.TaskName, CrashRecord] = (
            generations.Generations(retention_s=RETENTION_S, now_s=now_s)
        )

    def find(self, task: values.TaskName) -> CrashRecord:
        """Return the losses under a task."""
        return self.records.find(task) or _NO_LOSSES

    def is_over_limit(self, task: values.TaskName) -> bool:
        """Return whether a task is to be given up.

        As long as another allocator may have recorded losses that no owner
        knows of any longer, suspected losses count like crashes.
        """
        record = self.find(task)
        is_complete = self.records.rotated_s > self.begun_s
        max_losses = MAX_LOSSES if is_complete else MAX_CRASHES
        return record.is_proven() or record.losses() >= max_losses

    def record_silent(
        self, task: values.TaskName, incarnation: Incarnation
    ) -> None:
        """Record that a worker may have been lost while it ran a task.

        Args:
            task: The task.
            incarnation: Incarnation of the worker, which does not answer or had
                not answered the start.
        """
        record = self.find(task)
        self.records.record(
            task,
            dataclasses.replace(record, silent=record.silent | {incarnation}),
        )

    def record_crash(
        self, task: values.TaskName, incarnation: Incarnation
    ) -> None:
        """Record that a worker has restarted after it ran a task.

        Args:
            task: The task.
            incarnation: Incarnation of the worker that is over.
        """
        record = self.find(task)
        self.records.record(
            task,
            dataclasses.replace(
                record,
                crashed=record.crashed | {incarnation},
                silent=record.silent - {incarnation},
            ),
        )

    def clear(self, task: values.TaskName, incarnation: Incarnation) -> None:
        """Drop a suspected loss, as the same incarnation has answered."""
        record = self.find(task)
        if incarnation not in record.silent:
            return
        cleared = dataclasses.replace(
            record, silent=record.silent - {incarnation}
        )
        if cleared == _NO_LOSSES:
            self.records.drop(task)
        else:
            self.records.record(task, cleared)

    def inherit(self, task: values.TaskName, losses: int) -> None:
        """Add the losses that only the owner of a task still knows of.

        Args:
            task: The task.
            losses: Losses that the owner was notified of.
        """
        record = self.find(task)
        missing = losses - record.losses()
        if missing > 0:
            self.records.record(
                task,
                dataclasses.replace(record, earlier=record.earlier + missing),
            )
