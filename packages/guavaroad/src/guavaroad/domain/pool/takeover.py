"""Cleanup after the previous allocator."""

from typing import Final

from guavaroad.domain.pool import (
    actions,
    allocator_state,
    leases,
    worker,
)

# Retention of ends whose job no owner has declared yet, in seconds. Owners
# declare their jobs within a second of a takeover.
EARLY_END_RETENTION_S: Final = 3
# Time for which unclaimed runs are not stopped, in seconds; reachable owners
# have declared their jobs by then. Meanwhile no lease on their worker is
# extended, since the previous allocator may rely on its end.
UNCLAIMED_GRACE_S: Final = 0.2
# Interval before unclaimed runs are stopped again, in seconds, if they are
# still reported.
UNCLAIMED_STOP_INTERVAL_S: Final = 0.3


class Takeover:
    """Stops unclaimed runs and discards outdated state.

    Attributes:
        state: State of the allocator.
    """

    def __init__(self, *, state: allocator_state.AllocatorState) -> None:
        self.state = state

    def clean_up(self, now_s: float) -> None:
        """Stop unclaimed runs, drop old ends and queue tasks held back."""
        for worker_state in self.state.runs.reporters.values():
            since_s = worker_state.unclaimed_since_s
            if since_s is not None and now_s - since_s > UNCLAIMED_GRACE_S:
                self.stop_unclaimed(worker_state, now_s)
        for name, early in tuple(self.state.early_ends.items()):
            if now_s - early.recorded_s > EARLY_END_RETENTION_S:
                self.state.early_ends.pop(name)
        self.queue_unlisted(now_s)
        self.state.queue_unconfirmed(now_s)

    def stop_unclaimed(self, worker_state: worker.Worker, now_s: float) -> None:
        """Stop the unclaimed runs of a worker.

        The worker gets no new task until a report shows that they are over.
        """
        if now_s - worker_state.unclaimed_stop_s < UNCLAIMED_STOP_INTERVAL_S:
            return
        worker_state.unclaimed_stop_s = now_s
        self.state.log_event(
            'strangers_stopped',
            worker=worker_state.worker_info.worker_id,
            tasks=list(worker_state.unclaimed_runs),
        )
        for name, number in worker_state.unclaimed_runs.items():
            self.state.add_action(
                actions.StopRun(
                    worker_id=worker_state.worker_info.worker_id,
                    task=name,
                    number=number,
                )
            )

    def queue_unlisted(self, now_s: float) -> None:
        """Queue tasks whose worker has not been listed within its lease."""
        waiting = []
        for since_s, task in self.state.unlisted_tasks:
            if now_s - since_s > leases.INHERITED_LEASE_S:
                self.state.queue_task(task, now_s)
            else:
                waiting.append((since_s, task))
        self.state.unlisted_tasks = waiting
