"""Tracks the platform's list of workers.

The list lags behind, and entries may be missing from it for a short time.
Workers may come back under their ids at other addresses, also at those that
they or others had before.
"""

import dataclasses
from collections.abc import Iterable

from guavaroad.domain import names
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
        evacuated_zones: Availability zones whose workers get no tasks.
    """

    def __init__(
        self,
        *,
        state: allocator_state.AllocatorState,
        reports: worker_reports.WorkerReports,
    ) -> None:
        self.state = state
        self.reports = reports
        self.evacuated_zones: frozenset[names.AvailabilityZone] = frozenset()

    def update(self, listed: Iterable[worker.WorkerInfo], now_s: float) -> None:
        """Apply the platform's list of workers.

        Args:
            listed: All workers in the list.
            now_s: Current time, in seconds.
        """
        seen = set()
        for worker_info in listed:
            seen.add(worker_info.worker_id)
            tracked = self.state.workers.get(worker_info.worker_id)
            if tracked is None:
                self.add_worker(worker_info)
            else:
                self.update_worker(tracked, worker_info, now_s)
        for worker_id, worker_state in self.state.workers.items():
            if worker_id not in seen and worker_state.unlisted_since_s is None:
                worker_state.unlisted_since_s = now_s

    def add_worker(self, worker_info: worker.WorkerInfo) -> None:
        """Track a worker and start its status polls."""
        inherited_s = self.state.taken_over_s + leases.INHERITED_LEASE_S
        worker_state = worker.Worker(
            worker_info=worker_info,
            lease=leases.Lease(ends_s=inherited_s),
            contacts=self.state.contacts,
        )
        worker_state.resize(worker_info)
        self.state.workers[worker_info.worker_id] = worker_state
        self.mark_evacuated(worker_state)
        self.state.update_capacity(worker_state)
        self.state.add_action(
            actions.WorkerAdded(worker_id=worker_info.worker_id)
        )

    def update_worker(
        self,
        worker_state: worker.Worker,
        worker_info: worker.WorkerInfo,
        now_s: float,
    ) -> None:
        """Apply the list entry of a tracked worker."""
        worker_state.unlisted_since_s = None
        old = worker_state.worker_info
        started_ms = worker_info.started_ms or old.started_ms
        # The list lags behind, and clocks are set back between two starts.
        if started_ms and started_ms == worker_state.previous_started_ms:
            started_ms = old.started_ms
            worker_info = dataclasses.replace(worker_info, address=old.address)
        if old.started_ms and started_ms > old.started_ms:
            self.reports.on_restart(worker_state, started_ms, now_s)
            worker_state.is_synced = False
        if worker_info.draining and not old.draining:
            self.state.log_event(
                'worker_draining', worker=worker_info.worker_id
            )
        if worker_info == old:
            return
        if worker_info.address != old.address:
            self.state.add_action(
                actions.WorkerMoved(worker_id=worker_info.worker_id)
            )
            self.state.log_event(
                'worker_moved',
                worker=worker_info.worker_id,
                address=worker_info.address,
            )
        pool_changed = worker_info.pool != old.pool
        if pool_changed:
            self.state.pool(old.pool).capacity.remove(worker_info.worker_id)
        worker_state.resize(
            dataclasses.replace(
                worker_info, started_ms=max(started_ms, old.started_ms)
            )
        )
        self.mark_evacuated(worker_state)
        self.state.update_capacity(worker_state)

    def evacuate(self, zones: Iterable[names.AvailabilityZone]) -> None:
        """Start no tasks on the workers of these availability zones.

        Runs that are in progress go on.

        Args:
            zones: All zones that are evacuated.
        """
        evacuated = frozenset(zones)
        if evacuated == self.evacuated_zones:
            return
        self.evacuated_zones = evacuated
        for worker_state in self.state.workers.values():
            self.mark_evacuated(worker_state)

    def mark_evacuated(self, worker_state: worker.Worker) -> None:
        """Record whether the zone of a worker is evacuated."""
        zone = worker_state.worker_info.zone
        worker_state.is_evacuated = zone in self.evacuated_zones
