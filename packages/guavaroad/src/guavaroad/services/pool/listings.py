"""Reads the lists that the allocator works by: workers and instances."""

from collections.abc import Callable

from twisted.internet import defer

from guavaroad.domain.pool import allocator, worker
from guavaroad.ports import platform, pool
from guavaroad.services.pool import dependencies, directory


class Listings:
    """Keeps the allocator's lists fresh.

    Attributes:
        machine: Takes the list of workers.
        listed_s: When the list of workers was last read.
        facts: The list of workers.
        on_rows: Called with the list as the store has it, when it changes.
        on_directory: Called when the directory of instances was read.
        reading: Reads that are going on.
    """

    def __init__(
        self,
        *,
        machine: allocator.Allocator,
        known: directory.Directory,
        outside: dependencies.Dependencies,
        on_change: Callable[[], object],
        on_rows: Callable[[pool.WorkerRows], object],
        on_directory: Callable[[], object],
    ) -> None:
        self.machine = machine
        self.directory = known
        self.cluster = outside.cluster
        self.codec = outside.codec
        self.timers = outside.timers
        self.journal = outside.decision_log
        self.on_change = on_change
        self.listed_s = outside.timers.now()
        self.facts: tuple[worker.Facts, ...] = ()
        self.on_rows = on_rows
        self.on_directory = on_directory
        self.reading: set[str] = set()

    def read_list(self) -> None:
        """Read the list of workers, unless that is going on."""
        if 'list' not in self.reading:
            self.reading.add('list')
            defer.ensureDeferred(self.refresh_list())

    async def refresh_list(self) -> None:
        """Read the list of workers."""
        found = await self.cluster.workers()
        self.reading.discard('list')
        match found:
            case pool.WorkerRows():
                self.take_rows(found)
            case platform.Away():
                self.journal.log_event(
                    'worker_list_unread', detail=found.detail
                )

    def take_rows(self, rows: pool.WorkerRows) -> None:
        """Take a list of workers."""
        now_s = self.timers.now()
        self.listed_s = now_s
        facts = self.codec.facts(rows)
        if facts != self.facts:
            self.facts = facts
            self.on_rows(rows)
        self.machine.update_workers(facts, now_s)
        self.on_change()

    def read_directory(self) -> None:
        """Read the directory of instances, unless that is going on."""
        if 'directory' not in self.reading:
            self.reading.add('directory')
            defer.ensureDeferred(self.refresh_directory())

    async def refresh_directory(self) -> None:
        """Read the directory of instances."""
        found = await self.cluster.instances()
        self.reading.discard('directory')
        if not isinstance(found, platform.Away):
            self.directory.replace(found)
            self.on_directory()
