"""Ends the runs of workers that were lost, and records the losses by task."""

from guavaroad.domain.pool import (
    allocator_state,
    crash_records,
    messages,
    run_tracker,
    values,
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
        incarnation = present_incarnation(worker_state)
        self.drop_reported(worker_state)
        for run in tuple(worker_state.runs.values()):
            self.runs.crashes.record_silent(run.task.name, incarnation)
            worker_state.lapsed_runs.append(run)
            self.log_lost(worker_state, run)
            self.runs.end_run(worker_state, run, values.EndKind.LAPSED, now_s)

    def on_restarted(self, worker_state: worker.Worker, now_s: float) -> None:
        """End the runs that were lost with the previous incarnation.

        The present one may have accepted a start already, or may still receive
        it: those that no answered poll could show are kept until its report.

        Args:
            worker_state: The worker, still with its previous incarnation.
            now_s: Current time, in seconds.
        """
        incarnation = present_incarnation(worker_state)
        self.drop_reported(worker_state)
        for run in tuple(worker_state.runs.values()):
            match run.state:
                case values.RunState.RUNNING if is_reported(worker_state, run):
                    self.end_lost(worker_state, run, incarnation, now_s)
                case values.RunState.STOPPING:
                    # The present incarnation does not know of the stop.
                    run.state = values.RunState.UNANSWERED
                    self.runs.stop(worker_state, run)
        lapsed = worker_state.lapsed_runs
        worker_state.lapsed_runs = []
        for run in lapsed:
            self.record_loss(run, incarnation)
            self.give_up_if_crashing(run.task.name)

    def record_loss(
        self, run: worker.Run, incarnation: crash_records.Incarnation
    ) -> None:
        """Record that the worker of a run has restarted.

        A start that it has not answered may never have been carried out.
        """
        if run.has_begun:
            self.runs.crashes.record_crash(run.task.name, incarnation)
        else:
            self.runs.crashes.record_silent(run.task.name, incarnation)

    def give_up_if_crashing(self, name: values.TaskName) -> None:
        """Give up the job of a task that has crashed too many workers."""
        task = self.state.tasks.get(name)
        if task is None or task.done:
            return
        if self.runs.crashes.is_over_limit(name):
            self.runs.give_up_crashing(task)

    def on_missing(
        self, worker_state: worker.Worker, run: worker.Run, now_s: float
    ) -> None:
        """End a run that the report of its worker does not contain.

        It was lost with the worker's previous incarnation, if it was ordered
        before the present one was observed.
        """
        if run.ordered_s < worker_state.incarnation_seen_s:
            incarnation = incarnation_of(
                worker_state, worker_state.previous_started_ms
            )
            self.end_lost(worker_state, run, incarnation, now_s)
        else:
            self.runs.end_run(worker_state, run, values.EndKind.LAPSED, now_s)

    def end_lost(
        self,
        worker_state: worker.Worker,
        run: worker.Run,
        incarnation: crash_records.Incarnation,
        now_s: float,
    ) -> None:
        """End a run that was lost when its worker crashed."""
        self.record_loss(run, incarnation)
        self.log_lost(worker_state, run)
        self.runs.end_run(worker_state, run, values.EndKind.LAPSED, now_s)

    def on_answered(self, worker_state: worker.Worker) -> None:
        """Clear the tasks of a worker that was cut off, not crashed."""
        incarnation = present_incarnation(worker_state)
        for run in worker_state.lapsed_runs:
            self.runs.crashes.clear(run.task.name, incarnation)
            self.tell_cleared(run.task.name)
        worker_state.lapsed_runs = []

    def tell_cleared(self, name: values.TaskName) -> None:
        """Tell the owner of an open task how many losses are left.

        It declares them to the next allocator.
        """
        task = self.state.tasks.get(name)
        if task is None or task.done:
            return
        left = self.runs.crashes.find(name).losses()
        self.state.notify_owner(
            task.job,
            messages.Begun(
                job=task.job.job_id,
                starts=(),
                attempt=task.job.attempt,
                losses=((task.index, left),),
            ),
        )

    def drop_reported(self, worker_state: worker.Worker) -> None:
        """Discard what a worker has reported about its runs."""
        self.state.runs.drop_unclaimed(worker_state)
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


def is_reported(worker_state: worker.Worker, run: worker.Run) -> bool:
    """Return whether the last answered poll must have shown a run."""
    return run.reportable_s <= worker_state.last_poll_s


def present_incarnation(
    worker_state: worker.Worker,
) -> crash_records.Incarnation:
    """Return the present incarnation of a worker."""
    return incarnation_of(worker_state, worker_state.worker_info.started_ms)


def incarnation_of(
    worker_state: worker.Worker, started_ms: int
) -> crash_records.Incarnation:
    """Return an incarnation of a worker.

    Args:
        worker_state: The worker.
        started_ms: Start of the incarnation, in milliseconds since 1970.
    """
    worker_id = worker_state.worker_info.worker_id
    return crash_records.Incarnation(f'{worker_id}/{started_ms}')
