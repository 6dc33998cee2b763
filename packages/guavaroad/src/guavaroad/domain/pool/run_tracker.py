"""Tracks runs through order outcomes, ends, stops and lapsed leases.

A task is placed again only when its previous run has ended, or is known not to
run on a worker that has seen this fencing token, or its lease must have
lapsed.
"""

import collections
from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    allocator_state,
    closed_jobs,
    crash_records,
    messages,
    outcomes,
    refused_starts,
    run_outcomes,
    values,
    work,
    worker,
)

# Time that a worker takes to stop a run, in seconds: 50 ms by the platform's
# documentation, plus a margin.
STOP_SETTLE_S: Final = 0.07
# Interval before an unanswered stop is sent again, in seconds. The start order
# that it cancels may arrive for as long as its lease.
STOP_RETRY_S: Final = 0.15
# Time after which a worker that is neither listed nor answers is removed, in
# seconds.
FORGET_WORKER_S: Final = 3

# Refusals that show nothing about the worker that was to run the task.
_NOT_ABOUT_WORKER: Final = frozenset(
    (outcomes.Refusal.STALE_RUN, outcomes.Refusal.NOT_SENT)
)


class RunTracker:
    """Tracks every run on every worker.

    Attributes:
        state: State of the allocator.
        crashes: Workers that were lost while they ran a task, by task.
        refused_starts: Tasks whose start was refused.
        run_outcomes: What ended runs show about workers.
        stop_retries: Stops to send again: time, worker and run.
        accepted_stops: Accepted stops: time at which they have taken effect,
            and worker.
    """

    def __init__(self, *, state: allocator_state.AllocatorState) -> None:
        self.state = state
        self.crashes = crash_records.CrashRecords(now_s=state.taken_over_s)
        self.refused_starts = refused_starts.RefusedStarts(state=state)
        self.run_outcomes = run_outcomes.RunOutcomes(state=state)
        self.stop_retries: collections.deque[
            tuple[float, values.WorkerId, worker.Run]
        ] = collections.deque()
        self.accepted_stops: collections.deque[
            tuple[float, values.WorkerId]
        ] = collections.deque()

    def on_start_outcome(
        self,
        *,
        worker_id: values.WorkerId,
        name: values.TaskName,
        number: values.RunNumber,
        outcome: outcomes.OrderOutcome,
        now_s: float,
    ) -> None:
        """Apply the outcome of a start order."""
        worker_state = self.state.workers.get(worker_id)
        if worker_state is None:
            return
        run = worker_state.runs.get(name)
        if run is None or run.number != number:
            return
        if is_from_worker(outcome):
            worker_state.health.record_answer()
        match outcome:
            case outcomes.Accepted():
                worker_state.read_clock(run, outcome.clock_ms, now_s)
                run.has_begun = True
                run.task.start_pause_s = 0
                run.task.refused_by = None
                if run.state is values.RunState.ORDERED:
                    run.state = values.RunState.RUNNING
                    run.reportable_s = now_s
            case outcomes.Refused():
                self.on_start_refused(worker_state, run, outcome.reason, now_s)
            case outcomes.NoAnswer():
                self.on_start_unanswered(worker_state, run, outcome, now_s)

    def on_start_refused(
        self,
        worker_state: worker.Worker,
        run: worker.Run,
        reason: outcomes.Refusal,
        now_s: float,
    ) -> None:
        """Queue a task again whose start the worker has refused."""
        task = run.task
        self.state.log_event(
            'start_refused',
            job=task.job.job_id,
            task=task.name,
            run=run.number,
            worker=worker_state.worker_info.worker_id,
            reason=reason.value,
            pause_ms=units.to_ms(task.start_pause_s),
        )
        self.state.remove_run(worker_state, task.name)
        if reason is outcomes.Refusal.UNHEALTHY:
            worker_state.health.eject(now_s)
        elif reason is outcomes.Refusal.UNREACHED:
            if worker_state.health.record_unanswered(now_s):
                self.state.log_ejection(worker_state, 'not reached', now_s)
        elif reason not in _NOT_ABOUT_WORKER:
            worker_state.is_synced = False
        if reason is outcomes.Refusal.MALFORMED:
            self.give_up(task.job, values.GiveUpReason.ATTEMPTS_USED)
            return
        task.refused_by = worker_state.worker_info.worker_id
        self.refused_starts.add(task, now_s)

    def on_start_unanswered(
        self,
        worker_state: worker.Worker,
        run: worker.Run,
        outcome: outcomes.NoAnswer,
        now_s: float,
    ) -> None:
        """Stop a run whose start order may still be carried out."""
        if run.state is not values.RunState.ORDERED:
            return
        run.state = values.RunState.UNANSWERED
        if not outcome.is_agent_lost:
            worker_state.health.record_unanswered(now_s)
        self.state.log_event(
            'start_unanswered',
            job=run.task.job.job_id,
            task=run.task.name,
            run=run.number,
            worker=worker_state.worker_info.worker_id,
            detail=outcome.detail,
        )
        self.stop(worker_state, run)

    def stop(self, worker_state: worker.Worker, run: worker.Run) -> None:
        """Order a worker to stop a run, or never to start it."""
        if run.state is not values.RunState.UNANSWERED:
            run.state = values.RunState.STOPPING
        self.state.add_action(
            actions.StopRun(
                worker_id=worker_state.worker_info.worker_id,
                task=run.task.name,
                number=run.number,
            )
        )

    def follow_stops(self, now_s: float) -> None:
        """Resend unanswered stops, and poll workers after accepted ones.

        The extra poll is needed because the pending one returns at the next
        end, which never comes for a run that has not started.
        """
        while self.stop_retries and self.stop_retries[0][0] <= now_s:
            _, worker_id, run = self.stop_retries.popleft()
            worker_state = self.state.workers.get(worker_id)
            if (
                worker_state is not None
                and worker_state.runs.get(run.task.name) is run
            ):
                self.stop(worker_state, run)
        while self.accepted_stops and self.accepted_stops[0][0] < now_s:
            worker_id = self.accepted_stops.popleft()[1]
            if worker_id in self.state.workers:
                self.state.add_action(actions.PollNow(worker_id=worker_id))

    def on_stop_outcome(
        self,
        *,
        worker_id: values.WorkerId,
        name: values.TaskName,
        number: values.RunNumber,
        outcome: outcomes.OrderOutcome,
        now_s: float,
    ) -> None:
        """Apply the outcome of a stop order."""
        worker_state = self.state.workers.get(worker_id)
        if worker_state is None:
            return
        unclaimed_number = worker_state.unclaimed_runs.get(name)
        run = worker_state.runs.get(name)
        if run is None or run.number != number:
            if unclaimed_number == number and isinstance(
                outcome, outcomes.NoAnswer
            ):
                worker_state.health.record_unanswered(now_s)
            return
        match outcome:
            case outcomes.Accepted():
                run.state = values.RunState.STOPPING
                # By then the run's end is reported, or it never started.
                run.reportable_s = now_s + STOP_SETTLE_S
                worker_state.health.record_answer()
                self.accepted_stops.append((run.reportable_s, worker_id))
            case _:
                self.stop_retries.append((now_s + STOP_RETRY_S, worker_id, run))

    def end_run(
        self,
        worker_state: worker.Worker,
        run: worker.Run,
        kind: values.EndKind,
        now_s: float,
    ) -> None:
        """Free the capacity of an ended run, and record its end."""
        task = run.task
        self.state.remove_run(worker_state, task.name)
        match kind:
            case values.EndKind.DONE:
                self.run_outcomes.record_done(worker_state, run, now_s)
            case values.EndKind.FAILED:
                self.run_outcomes.record_failed(worker_state, task, now_s)
        self.state.update_capacity(worker_state, now_s)
        if not task.job.closed:
            self.record_end(task, kind, now_s)

    def record_end(
        self, task: work.Task, kind: values.EndKind, now_s: float
    ) -> None:
        """Notify the owner of an end, and queue the task again if needed."""
        job = task.job
        task.losses = self.crashes.find(task.name).losses()
        self.state.notify_owner(
            job,
            messages.Ended(
                job=job.job_id,
                index=task.index,
                kind=kind,
                attempt=job.attempt,
                losses=task.losses,
            ),
        )
        if kind is values.EndKind.DONE:
            self.record_done(task, now_s)
            return
        if kind is values.EndKind.FAILED:
            task.failures += 1
        if task.failures >= job.max_attempts:
            self.give_up(job, values.GiveUpReason.ATTEMPTS_USED)
        elif self.crashes.is_over_limit(task.name):
            self.give_up_crashing(task)
        else:
            self.state.queue_task(task, now_s)

    def record_done(self, task: work.Task, now_s: float) -> None:
        """Queue the tasks of the next steps, or close a complete job."""
        job = task.job
        if job.owner in self.state.contacts.lost:
            # The message about this end is lost with the link.
            self.state.early_ends[task.name] = allocator_state.EarlyEnd(
                number=task.next_run,
                kind=values.EndKind.DONE,
                recorded_s=now_s,
            )
        for released in job.task_done(task):
            self.state.queue_task(released, now_s)
        if not job.open_tasks:
            self.state.closed.record(job.job_id, closed_jobs.Complete())
            self.state.close(job)

    def give_up(
        self,
        job: work.Job,
        reason: values.GiveUpReason,
        *,
        retry_after_ms: int = 0,
        detail: str = '',
    ) -> None:
        """Close a job, notify its owner and stop its runs.

        Args:
            job: Job to give up.
            reason: Why it is given up.
            retry_after_ms: Retry hint for the client, in milliseconds; 0 for
                none.
            detail: Inputs of the decision, for the log.
        """
        self.state.close(job)
        given_up = messages.GivenUp(
            job=job.job_id,
            reason=reason,
            may_have_started=job.may_have_started or job.may_have_run_before,
            retry_after_ms=retry_after_ms,
            detail=detail,
            attempt=job.attempt,
        )
        self.state.closed.record(
            job.job_id,
            closed_jobs.Abandoned(owner=job.owner, given_up=given_up),
        )
        self.state.notify_owner(job, given_up)
        self.stop_all(job)

    def stop_all(self, job: work.Job) -> None:
        """Stop every run of a job."""
        for task in job.tasks:
            if task.worker is None:
                continue
            worker_state = self.state.workers.get(task.worker)
            run = worker_state.runs.get(task.name) if worker_state else None
            if worker_state is not None and run is not None:
                self.stop(worker_state, run)

    def give_up_crashing(self, task: work.Task) -> None:
        """Give up the job of a task that crashes its workers.

        It has failed only if that is certain: workers that do not answer may be
        cut off, and its outcome is unknown then.
        """
        record = self.crashes.find(task.name)
        task.job.may_have_run_before = True
        reason = values.GiveUpReason.TOO_LATE
        if record.is_proven():
            reason = values.GiveUpReason.ATTEMPTS_USED
        self.give_up(
            task.job,
            reason,
            detail=(
                f'{record.losses()} workers were lost while they ran '
                f'{task.name}, {len(record.crashed)} of them have restarted'
            ),
        )

    def log_moved(self, worker_state: worker.Worker, run: worker.Run) -> None:
        """Log that a run is stopped to start again on another worker."""
        self.state.log_event(
            'run_moved',
            job=run.task.job.job_id,
            task=run.task.name,
            run=run.number,
            worker=worker_state.worker_info.worker_id,
            percent=run.percent,
        )


def is_from_worker(outcome: outcomes.OrderOutcome) -> bool:
    """Return whether an outcome shows that the worker answers."""
    match outcome:
        case (
            outcomes.NoAnswer()
            | outcomes.Refused(
                reason=outcomes.Refusal.NOT_SENT | outcomes.Refusal.UNREACHED
            )
        ):
            return False
    return True
