"""What becomes of runs: answers to orders, lists of workers, silence.

A task is placed again only when its earlier run has ended, or is known not to
run on a worker that has seen this token, or its lease must have lapsed.
"""

import collections
from typing import Final

from guavaroad.domain.pool import (
    actions,
    closed_jobs,
    ledger,
    messages,
    outcomes,
    stragglers,
    values,
    work,
    worker,
)

# Time that a worker takes to stop a run, 50 ms by the platform's page, and some
# more, in seconds.
STOP_SETTLE_S: Final = 0.07
# A stop without an answer is sent again after this many seconds; the order
# that it rules out may come for as long as its lease.
STOP_RETRY_S: Final = 0.15
# A worker that no list names, and that does not answer, is forgotten after
# this many seconds.
FORGET_S: Final = 3
# Estimates are rough; a shorter one would make every run look slow, in seconds.
MIN_ESTIMATE_S: Final = 0.02


class RunBook:
    """Follows every run on every worker.

    Attributes:
        state: What the allocator knows.
        retries: Stops to send again: when, where and which run.
        settling: Stops that were taken: when they have taken effect, where.
    """

    def __init__(self, *, state: ledger.Ledger) -> None:
        self.state = state
        self.retries: collections.deque[
            tuple[float, values.WorkerId, worker.Run]
        ] = collections.deque()
        self.settling: collections.deque[tuple[float, values.WorkerId]] = (
            collections.deque()
        )

    def on_start_outcome(
        self,
        *,
        worker_id: values.WorkerId,
        name: values.TaskName,
        number: values.RunNumber,
        outcome: outcomes.OrderOutcome,
        now_s: float,
    ) -> None:
        """Take the outcome of a start."""
        one = self.state.workers.get(worker_id)
        if one is None:
            return
        run = one.runs.get(name)
        if run is None or run.number != number:
            return
        if not isinstance(outcome, outcomes.NoAnswer):
            one.standing.answered()
        match outcome:
            case outcomes.Accepted():
                if outcome.clock_ms >= 0:
                    one.lease.read_clock(outcome.clock_ms, now_s)
                if run.state is values.RunState.ORDERED:
                    run.state = values.RunState.RUNNING
                    run.known_s = now_s
            case outcomes.Refused():
                self.start_refused(one, run, outcome.reason, now_s)
            case outcomes.NoAnswer():
                self.start_unanswered(one, run, outcome.detail, now_s)

    def start_refused(
        self,
        one: worker.Worker,
        run: worker.Run,
        reason: outcomes.Refusal,
        now_s: float,
    ) -> None:
        """Place a task again that a worker did not take."""
        task = run.task
        self.state.note(
            'start_refused',
            job=task.job.job_id,
            task=task.name,
            run=run.number,
            worker=one.facts.worker_id,
            reason=reason.value,
        )
        self.state.release(one, task.name)
        if reason is outcomes.Refusal.UNHEALTHY:
            one.standing.eject(now_s)
        elif reason is outcomes.Refusal.UNREACHED:
            one.standing.missed(now_s)
        elif reason is not outcomes.Refusal.STALE_RUN:
            one.readable = False
        if reason is outcomes.Refusal.MALFORMED:
            self.give_up(task.job, values.Verdict.ATTEMPTS_USED)
            return
        self.state.wait_again(task, now_s)

    def start_unanswered(
        self, one: worker.Worker, run: worker.Run, detail: str, now_s: float
    ) -> None:
        """Rule out that an order without an answer is carried out late."""
        if run.state is not values.RunState.ORDERED:
            return
        run.state = values.RunState.UNANSWERED
        one.standing.missed(now_s)
        self.state.note(
            'start_unanswered',
            job=run.task.job.job_id,
            task=run.task.name,
            run=run.number,
            worker=one.facts.worker_id,
            detail=detail,
        )
        self.stop(one, run)

    def stop(self, one: worker.Worker, run: worker.Run) -> None:
        """Order a run stopped, or never to start."""
        if run.state is not values.RunState.UNANSWERED:
            run.state = values.RunState.STOPPING
        self.state.act(
            actions.StopRun(
                worker_id=one.facts.worker_id,
                task=run.task.name,
                number=run.number,
            )
        )

    def follow_stops(self, now_s: float) -> None:
        """Send stops again that got no answer, and look at what they did.

        A look that waits for an end learns nothing of a run that never began.
        """
        while self.retries and self.retries[0][0] <= now_s:
            _, worker_id, run = self.retries.popleft()
            one = self.state.workers.get(worker_id)
            if one is not None and one.runs.get(run.task.name) is run:
                self.stop(one, run)
        while self.settling and self.settling[0][0] < now_s:
            worker_id = self.settling.popleft()[1]
            if worker_id in self.state.workers:
                self.state.act(actions.PollNow(worker_id=worker_id))

    def on_stop_outcome(
        self,
        *,
        worker_id: values.WorkerId,
        name: values.TaskName,
        number: values.RunNumber,
        outcome: outcomes.OrderOutcome,
        now_s: float,
    ) -> None:
        """Take the outcome of a stop."""
        one = self.state.workers.get(worker_id)
        if one is None:
            return
        stranger = one.unclaimed_runs.get(name)
        run = one.runs.get(name)
        if run is None or run.number != number:
            if stranger == number and isinstance(outcome, outcomes.NoAnswer):
                one.standing.missed(now_s)
            return
        match outcome:
            case outcomes.Accepted():
                run.state = values.RunState.STOPPING
                # Its end is listed by then, or it never ran.
                run.known_s = now_s + STOP_SETTLE_S
                one.standing.answered()
                self.settling.append((run.known_s, worker_id))
            case _:
                self.retries.append((now_s + STOP_RETRY_S, worker_id, run))

    def over(
        self,
        one: worker.Worker,
        run: worker.Run,
        kind: values.EndKind,
        now_s: float,
    ) -> None:
        """Free the room of an ended run, and see to its task."""
        task = run.task
        self.state.release(one, task.name)
        elapsed_s = now_s - run.ordered_s
        match kind:
            case values.EndKind.DONE:
                one.standing.run_done(
                    elapsed_s / max(task.estimate_s, MIN_ESTIMATE_S)
                )
                if not stragglers.lags(run, now_s):
                    one.standing.vouch()
            case values.EndKind.FAILED:
                if one.standing.run_failed(now_s):
                    self.state.note_ejected(one, 'runs fail', now_s)
        if not task.job.closed:
            self.settle(task, kind, now_s)

    def settle(
        self, task: work.Task, kind: values.EndKind, now_s: float
    ) -> None:
        """Tell the owner of an end, and place the task again if need be."""
        job = task.job
        self.state.tell(
            job, messages.Ended(job=job.job_id, index=task.index, kind=kind)
        )
        if kind is values.EndKind.DONE:
            self.settle_done(task, now_s)
            return
        if kind is values.EndKind.FAILED:
            task.failures += 1
        if task.failures >= job.max_attempts:
            self.give_up(job, values.Verdict.ATTEMPTS_USED)
            return
        self.state.wait_again(task, now_s)

    def settle_done(self, task: work.Task, now_s: float) -> None:
        """Let the next steps begin, or let go of a complete job."""
        job = task.job
        if job.owner in self.state.silent_owners:
            # The word of this end is lost with the link.
            self.state.early_ends[task.name] = ledger.EarlyEnd(
                number=task.next_run, kind=values.EndKind.DONE, seen_s=now_s
            )
        for released in job.task_done(task):
            self.state.wait_again(released, now_s)
        if not job.open_tasks:
            self.state.closed.keep(job.job_id, closed_jobs.Complete())
            self.state.close(job)

    def give_up(
        self,
        job: work.Job,
        verdict: values.Verdict,
        *,
        retry_after_ms: int = 0,
        detail: str = '',
    ) -> None:
        """Let go of a job: tell its owner, and stop what runs of it."""
        self.state.close(job)
        given_up = messages.GivenUp(
            job=job.job_id,
            reason=verdict,
            begun=job.begun,
            retry_after_ms=retry_after_ms,
            detail=detail,
        )
        self.state.closed.keep(job.job_id, given_up)
        self.state.tell(job, given_up)
        self.stop_all(job)

    def stop_all(self, job: work.Job) -> None:
        """Stop every run of a job."""
        for task in job.tasks:
            if task.worker is None:
                continue
            one = self.state.workers.get(task.worker)
            run = one.runs.get(task.name) if one else None
            if one is not None and run is not None:
                self.stop(one, run)

    def lapse(self, one: worker.Worker, now_s: float) -> None:
        """End every run of a worker whose leases must be over."""
        for run in tuple(one.runs.values()):
            self.over(one, run, values.EndKind.LAPSED, now_s)
        one.unclaimed_runs = {}
        one.readable = False

    def note_moved(self, one: worker.Worker, run: worker.Run) -> None:
        """Log that a run is to start anew elsewhere."""
        self.state.note(
            'run_moved',
            job=run.task.job.job_id,
            task=run.task.name,
            run=run.number,
            worker=one.facts.worker_id,
            percent=run.percent,
        )
