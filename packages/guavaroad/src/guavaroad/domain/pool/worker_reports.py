"""Compares the run reports of workers with the tracked runs."""

import dataclasses

from guavaroad.domain import units
from guavaroad.domain.pool import (
    allocator_state,
    answer_times,
    lost_workers,
    messages,
    outcomes,
    run_tracker,
    values,
    work,
    worker,
    worker_health,
)


class WorkerReports:
    """Processes the outcomes of status polls.

    Attributes:
        state: State of the allocator.
        runs: Tracks runs.
        answer_times: How long polls without a wait take.
        lost_workers: Ends the runs of lost workers.
    """

    def __init__(
        self,
        *,
        state: allocator_state.AllocatorState,
        runs: run_tracker.RunTracker,
    ) -> None:
        self.state = state
        self.runs = runs
        self.answer_times = answer_times.AnswerTimes()
        self.lost_workers = lost_workers.LostWorkers(state=state, runs=runs)

    def record_report(
        self,
        *,
        worker_id: values.WorkerId,
        report: outcomes.RunReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply a run report.

        Args:
            worker_id: Worker that sent the report.
            report: The report.
            sent_s: Time at which the status poll was sent, in seconds.
            now_s: Current time, in seconds.
        """
        worker_state = self.state.workers.get(worker_id)
        if worker_state is None or worker_state.is_from_earlier_incarnation(
            report.started_ms, sent_s
        ):
            return
        self.check_incarnation(worker_state, report.started_ms, now_s)
        worker_state.health.record_answer()
        worker_state.lease.read_clock(report.clock_ms, now_s)
        if not worker_state.is_synced and worker_state.last_poll_s:
            self.state.log_event(
                'worker_back',
                worker=worker_id,
                silent_ms=units.to_ms(now_s - worker_state.last_poll_s),
                listed=len(report.running),
            )
        worker_state.last_poll_s = max(worker_state.last_poll_s, sent_s)
        for end in report.ended:
            if end.position > worker_state.last_end_position:
                worker_state.last_end_position = end.position
                self.record_end(worker_state, end, now_s)
        # Concurrent polls may be answered out of order.
        if report.clock_ms >= worker_state.report_clock_ms:
            worker_state.report_clock_ms = report.clock_ms
            self.compare(worker_state, report, sent_s, now_s)
        worker_state.is_synced = True

    def check_incarnation(
        self, worker_state: worker.Worker, started_ms: int, now_s: float
    ) -> None:
        """Follow a worker that answers, perhaps after a restart.

        Args:
            worker_state: Worker that sent a report.
            started_ms: Start of the incarnation that sent it, in milliseconds
                since 1970; 0 if unknown.
            now_s: Current time, in seconds.
        """
        if not started_ms:
            return
        if started_ms != worker_state.worker_info.started_ms:
            self.on_restart(worker_state, started_ms, now_s)
        elif worker_state.lapsed_runs:
            self.lost_workers.on_answered(worker_state)

    def record_poll_failure(
        self, worker_id: values.WorkerId, detail: str, now_s: float
    ) -> None:
        """Record an unanswered status poll.

        After several in a row the worker gets no tasks until it answers one.
        """
        worker_state = self.state.workers.get(worker_id)
        if worker_state is None:
            return
        if not worker_state.health.record_unanswered(now_s):
            return
        if worker_state.is_synced:
            self.state.log_event(
                'worker_silent',
                worker=worker_id,
                detail=detail,
                runs=len(worker_state.runs),
            )
        worker_state.is_synced = False

    def compare(
        self,
        worker_state: worker.Worker,
        report: outcomes.RunReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Compare the tracked runs of a worker with its report.

        Args:
            worker_state: Worker that sent the report.
            report: The report.
            sent_s: Time at which the status poll was sent, in seconds.
            now_s: Current time, in seconds.
        """
        listed = {entry.task: entry for entry in report.running}
        self.state.runs.clear_unclaimed(worker_state)
        for entry in report.running:
            run = worker_state.runs.get(entry.task)
            if run is not None and run.number == entry.number:
                self.update_progress(run, entry, now_s)
            else:
                self.adopt_run(worker_state, entry, now_s)
        self.state.runs.note_unclaimed(worker_state, now_s)
        missing = [
            run
            for name, run in worker_state.runs.items()
            if name not in listed and run.reportable_s < sent_s
        ]
        for run in missing:
            if run.state is not values.RunState.UNANSWERED:
                self.lost_workers.on_missing(worker_state, run, now_s)

    def update_progress(
        self, run: worker.Run, entry: outcomes.ListedRun, now_s: float
    ) -> None:
        """Record the reported progress of a run."""
        run.has_begun = True
        if run.state is values.RunState.ORDERED:
            run.state = values.RunState.RUNNING
            run.reportable_s = now_s
        if entry.percent != run.percent or not run.progressed_s:
            run.percent = entry.percent
            run.progressed_s = now_s

    def adopt_run(
        self,
        worker_state: worker.Worker,
        entry: outcomes.ListedRun,
        now_s: float,
    ) -> None:
        """Track a run that another allocator started.

        A run that belongs to no open task is recorded as unclaimed.
        """
        task = self.state.tasks.get(entry.task)
        if task is not None:
            after = values.RunNumber(entry.number + 1)
            task.next_run = max(task.next_run, after)
        if task is None:
            self.state.closed.reported.record(entry.task)
        if task is None or task.worker is not None or task.done:
            self.state.runs.add_unclaimed(
                worker_state, entry.task, entry.number
            )
            return
        pool = self.state.pool(task.job.pool)
        if task.name in task.job.waiting:
            pool.backlog.remove_task(task)
        task.job.may_have_started = True
        worker_state.lease.inherit(now_s)
        self.state.add_run(
            worker_state,
            worker.Run(
                task=task,
                number=entry.number,
                state=values.RunState.RUNNING,
                ordered_s=now_s,
                reportable_s=now_s,
                percent=entry.percent,
                progressed_s=now_s,
                has_begun=True,
                is_adopted=True,
            ),
        )
        self.state.log_event(
            'run_adopted',
            job=task.job.job_id,
            task=task.name,
            run=entry.number,
            worker=worker_state.worker_info.worker_id,
        )
        self.state.notify_owner(
            task.job,
            messages.Begun(
                job=task.job.job_id,
                starts=(
                    (
                        task.index,
                        entry.number,
                        worker_state.worker_info.worker_id,
                    ),
                ),
                attempt=task.job.attempt,
            ),
        )

    def record_end(
        self,
        worker_state: worker.Worker,
        end: outcomes.ListedEnd,
        now_s: float,
    ) -> None:
        """Apply a reported end."""
        run = worker_state.runs.get(end.task)
        if run is not None and run.number == end.number:
            self.runs.end_run(worker_state, run, end.kind, now_s)
            return
        task = self.state.tasks.get(end.task)
        if task is None:
            self.record_early_end(end, now_s)
        else:
            self.record_untracked_end(task, end, now_s)

    def record_early_end(self, end: outcomes.ListedEnd, now_s: float) -> None:
        """Record the end of a task's latest run before its job is declared."""
        self.state.closed.reported.record(end.task)
        known = self.state.early_ends.get(end.task)
        if known is None or known.number <= end.number:
            self.state.early_ends[end.task] = allocator_state.EarlyEnd(
                number=end.number, kind=end.kind, recorded_s=now_s
            )

    def record_untracked_end(
        self, task: work.Task, end: outcomes.ListedEnd, now_s: float
    ) -> None:
        """Apply the end of a run that is not tracked, though its task is.

        Another allocator has started it, or its lease has lapsed.
        """
        task.job.may_have_run_before = True
        is_latest = end.number >= task.next_run - 1
        if end.kind is not values.EndKind.DONE or not is_latest:
            return
        if task.done or task.worker is not None:
            return
        if task.name in task.job.waiting:
            self.state.pool(task.job.pool).backlog.remove_task(task)
        self.runs.record_end(task, end.kind, now_s)

    def on_restart(
        self, worker_state: worker.Worker, started_ms: int, now_s: float
    ) -> None:
        """Discard the state of the worker's previous incarnation.

        Its runs are over, but the new one may have accepted a start already, or
        may still receive it: the comparison with its report finds out.
        """
        if worker_state.worker_info.started_ms:
            self.state.log_event(
                'worker_restarted',
                worker=worker_state.worker_info.worker_id,
                runs_lost=len(worker_state.runs),
            )
            self.lost_workers.on_restarted(worker_state, now_s)
        worker_state.previous_started_ms = worker_state.worker_info.started_ms
        worker_state.last_end_position = 0
        worker_state.report_clock_ms = -1
        worker_state.incarnation_seen_s = now_s
        worker_state.health = worker_health.WorkerHealth()
        worker_state.worker_info = dataclasses.replace(
            worker_state.worker_info, started_ms=started_ms
        )
