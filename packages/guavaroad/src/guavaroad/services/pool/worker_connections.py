"""Connections from this instance to workers, kept from one term to the next."""

import dataclasses
from typing import Final

from guavaroad.domain.pool import values
from guavaroad.ports import pool, timers

# Period of closing unused connections to workers, in seconds.
CLOSE_PERIOD_S: Final = 5
# Connections to a worker are closed when no call has used them for this long,
# in seconds. After a takeover the same agent is usually chosen again.
UNUSED_TIMEOUT_S: Final = 15


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenWorker:
    """A worker with open connections.

    Attributes:
        address: Address of the worker.
        used_s: Time of the last call, in seconds.
    """

    address: str
    used_s: float


class WorkerConnections:
    """Opens connections to workers, and closes them when they are unused.

    Attributes:
        workers: Calls to workers.
        opened: Workers with open connections.
    """

    def __init__(
        self, *, workers: pool.WorkersPort, timer_service: timers.TimerService
    ) -> None:
        self.workers = workers
        self.timers = timer_service
        self.opened: dict[values.WorkerId, OpenWorker] = {}
        timer_service.subscribe(CLOSE_PERIOD_S, self.close_unused)

    def open(self, worker_id: values.WorkerId, address: str) -> None:
        """Open connections to a worker, unless they are open already.

        Those to another address are closed; their calls fail.
        """
        known = self.opened.get(worker_id)
        if known is not None and known.address == address:
            known.used_s = self.timers.now()
            return
        if known is not None:
            self.opened.pop(worker_id)
            self.workers.close(worker_id)
        self.workers.open(worker_id, address)
        self.opened[worker_id] = OpenWorker(
            address=address, used_s=self.timers.now()
        )

    def use(self, worker_id: values.WorkerId) -> bool:
        """Record a call to a worker; return whether connections are open."""
        known = self.opened.get(worker_id)
        if known is None:
            return False
        known.used_s = self.timers.now()
        return True

    def close_unused(self) -> None:
        """Close the connections to workers that no call has used recently."""
        oldest_s = self.timers.now() - UNUSED_TIMEOUT_S
        for worker_id, known in tuple(self.opened.items()):
            if known.used_s < oldest_s:
                self.opened.pop(worker_id)
                self.workers.close(worker_id)
