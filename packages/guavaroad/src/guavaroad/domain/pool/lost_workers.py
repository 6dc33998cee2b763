"""Ends the runs of workers that were lost, and records the losses by task."""

from guavaroad.domain.pool import (
    allocator_state,
    crash_records,
    run_tracker,
    values,
    work,
    worker,
)


class LostWorkers:
    """Follows workers whose leases lapse, that restart and that answer again.

    Attributes:
        state: State of the allocator.
        runs: Tracks runs.
    """

    def __init__(
        self,
        *,
        state: allocator_state.AllocatorState,
        runs: run_tracker.RunTracker,
    ) -> None:
        self.state = state
        self.runs = runs

    def on_lapsed(self, worker_state: worker.Worker, now_s: float) -> None:
        """End every run of a worker whose leases must have lapsed."""
        incarnation = incarnation_of(worker_state)
        for run in tuple(worker_state.runs.values()):
            self.runs.crashes.record_silent(run.task.name, incarnation)
            worker_state.lapsed_tasks.add(run.task.name)
        self.end_runs(worker_state, now_s)

    def on_restarted(self, worker_state: worker.Worker, now_s: float) -> None:
        """End every run of a worker that has restarted.

        Args:
            worker_state: The worker, still with its previous incarnation.
            now_s: Current time, in seconds.
        """
        incarnation = incarnation_of(worker_state)
        lapsed = worker_state.lapsed_tasks
        worker_state.lapsed_tasks = set()
        for name in lapsed.union(worker_state.runs):
            self.runs.crashes.record_crash(name, incarnation)
        self.end_runs(worker_state, now_s)
        for name in lapsed:
            task = self.state.tasks.get(name)
            if task is not None and self.runs.crashes.is_over_limit(name):
                self.give_up(task)

    def on_answered(self, worker_state: worker.Worker) -> None:
        """Clear the tasks of a worker that was cut off, not crashed."""
        incarnation = incarnation_of(worker_state)
        for name in worker_state.lapsed_tasks:
            self.runs.crashes.clear(name, incarnation)
        worker_state.lapsed_tasks = set()

    def end_runs(self, worker_state: worker.Worker, now_s: float) -> None:
        """End every run of a worker."""
        self.state.runs.drop_unclaimed(worker_state)
        for run in tuple(worker_state.runs.values()):
            self.log_lost(worker_state, run)
            self.runs.end_run(worker_state, run, values.EndKind.LAPSED, now_s)
        worker_state.is_synced = False

    def log_lost(self, worker_state: worker.Worker, run: worker.Run) -> None:
        """Log that a run was lost with its worker."""
        record = self.runs.crashes.find(run.task.name)
        self.state.log_event(
            'run_lost',
            job=run.task.job.job_id,
            task=run.task.name,
            run=run.number,
            worker=worker_state.worker_info.worker_id,
            crashed=len(record.crashed),
            losses=record.losses(),
        )

    def give_up(self, task: work.Task) -> None:
        """Give up the job of a task that crashes its workers."""
        if not task.done:
            self.runs.give_up_crashing(task)


def incarnation_of(worker_state: worker.Worker) -> crash_records.Incarnation:
    """Return the present incarnation of a worker."""
    worker_info = worker_state.worker_info
    return crash_records.Incarnation(
        f'{worker_info.worker_id}/{worker_info.started_ms}'
    )
