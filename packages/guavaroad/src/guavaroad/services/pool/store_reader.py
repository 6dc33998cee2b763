"""Reads the worker list and the instance directory for the allocator."""

from collections.abc import Callable

from twisted.internet import defer

from guavaroad.domain.pool import allocator, worker
from guavaroad.ports import platform, pool
from guavaroad.services.pool import dependencies, directory, store_calls

WorkerInfos = tuple[worker.WorkerInfo, ...]
OnRows = Callable[[pool.WorkerRows, WorkerInfos], object]


class StoreReader:
    """Keeps the allocator's worker list and directory up to date.

    Attributes:
        machine: Allocator that gets the worker list.
        updated_s: When the worker list was last read or received.
        worker_infos: The current worker list.
        on_rows: Called with the worker rows when the list has changed.
        on_directory: Called after each read of the directory.
        pending: Names of the reads in progress.
    """

    def __init__(
        self,
        *,
        machine: allocator.Allocator,
        instance_directory: directory.Directory,
        deps: dependencies.Dependencies,
        on_change: Callable[[], object],
        on_rows: OnRows,
        on_directory: Callable[[], object],
    ) -> None:
        self.machine = machine
        self.directory = instance_directory
        self.cluster = deps.cluster
        self.codec = deps.codec
        self.timers = deps.timers
        self.decision_log = deps.decision_log
        self.on_change = on_change
        self.updated_s = deps.timers.now()
        self.worker_infos: tuple[worker.WorkerInfo, ...] = ()
        self.on_rows = on_rows
        self.on_directory = on_directory
        self.pending: set[str] = set()

    def read_workers(self) -> None:
        """Read the worker list, unless a read of it is in progress."""
        if 'workers' not in self.pending:
            self.pending.add('workers')
            defer.ensureDeferred(self.fetch_workers())

    async def fetch_workers(self) -> None:
        """Read the worker list and apply it."""
        read = await store_calls.completed(self.cluster.workers())
        self.pending.discard('workers')
        match read:
            case pool.WorkerRows():
                self.apply_worker_rows(read)
            case platform.Away():
                self.decision_log.log_event(
                    'worker_list_unread', detail=read.detail
                )

    def apply_worker_rows(self, rows: pool.WorkerRows) -> None:
        """Update the allocator's workers from the rows of the store."""
        now_s = self.timers.now()
        self.updated_s = now_s
        listed = self.codec.worker_infos(rows)
        if listed != self.worker_infos:
            self.worker_infos = listed
            self.on_rows(rows, listed)
        self.machine.update_workers(listed, now_s)
        self.on_change()

    def read_directory(self) -> None:
        """Read the directory, unless a read of it is in progress."""
        if 'directory' not in self.pending:
            self.pending.add('directory')
            defer.ensureDeferred(self.fetch_directory())

    async def fetch_directory(self) -> None:
        """Read the directory of instances and replace the local copy."""
        read = await store_calls.completed(self.cluster.instances())
        self.pending.discard('directory')
        if not isinstance(read, platform.Away):
            self.directory.replace(read)
            self.on_directory()
