"""Tracks the platform's list of workers.

The list lags behind, and entries may be missing from it for a short time.
"""

import dataclasses
from collections.abc import Iterable

from guavaroad.domain.pool import (
    actions,
    allocator_state,
    leases,
    worker,
    worker_reports,
)


class WorkerRegistry:
    """Applies the platform's list to the tracked workers.

    Attributes:
        state: State of the allocator.
        reports: Handles a worker that has restarted.
    """

    def __init__(
        self,
        *,
        state: allocator_state.AllocatorState,
        reports: worker_reports.WorkerReports,
    ) -> None:
        self.state = state
        self.reports = reports

    def update(self, listed: Iterable[worker.Facts], now_s: float) -> None:
        """Apply the platform's list of workers.

        Args:
            listed: All workers in the list.
            now_s: Current time, in seconds.
        """
        seen = set()
        for facts in listed:
            seen.add(facts.worker_id)
            tracked = self.state.workers.get(facts.worker_id)
            if tracked is None:
                self.add_worker(facts)
            else:
                self.update_worker(tracked, facts, now_s)
        for worker_id, worker_state in self.state.workers.items():
            if worker_id not in seen and worker_state.unlisted_since_s is None:
                worker_state.unlisted_since_s = now_s

    def add_worker(self, facts: worker.Facts) -> None:
        """Track a worker and start its status polls."""
        inherited_s = self.state.taken_over_s + leases.INHERITED_LEASE_S
        worker_state = worker.Worker(
            facts=facts, lease=leases.Lease(ends_s=inherited_s)
        )
        worker_state.resize(facts)
        self.state.workers[facts.worker_id] = worker_state
        self.state.update_capacity(worker_state)
        self.state.add_action(actions.WorkerAdded(worker_id=facts.worker_id))

    def update_worker(
        self, worker_state: worker.Worker, facts: worker.Facts, now_s: float
    ) -> None:
        """Apply the list entry of a tracked worker."""
        worker_state.unlisted_since_s = None
        old = worker_state.facts
        started_ms = facts.started_ms or old.started_ms
        if old.started_ms and facts.started_ms > old.started_ms:
            self.reports.on_restart(worker_state, facts.started_ms, now_s)
            worker_state.is_synced = False
        if facts.draining and not old.draining:
            self.state.log_event('worker_draining', worker=facts.worker_id)
        if facts == old:
            return
        pool_changed = facts.pool != old.pool
        if pool_changed:
            self.state.pool(old.pool).capacity.remove(facts.worker_id)
        worker_state.resize(
            dataclasses.replace(
                facts, started_ms=max(started_ms, old.started_ms)
            )
        )
        self.state.update_capacity(worker_state)
