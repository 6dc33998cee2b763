"""Queues the tasks of submissions and starts them on free slots."""

import math
import random
from collections.abc import Callable
from typing import Final, Protocol

from guavaroad.domain import attempts, codes, names
from guavaroad.domain.configuration import document
from guavaroad.domain.scheduling import admission, entries
from guavaroad.domain.slots import division, table
from guavaroad.domain.submissions import submission
from guavaroad.ports import timers, upstreams
from guavaroad.services import health, hold_monitor, job_admission

FinishedCallback = Callable[[submission.Submission], None]

_REFUSAL_COOLDOWN_S: Final = 0.02
_MAX_COOLDOWN_DOUBLINGS: Final = 4


class SlotHolder(Protocol):
    """Decides which slots this instance holds."""

    def slot_freed(self, use: table.UpstreamUse) -> None:
        """Handle a freed slot, which may be returned to the allocator."""

    def on_queues_changed(self) -> None:
        """Handle a change of the queues or the free slots."""


class Dispatcher(job_admission.JobAdmission):
    """Starts queued tasks on free slots, and reports finished submissions."""

    def __init__(
        self,
        *,
        port: upstreams.UpstreamPort,
        timer_service: timers.TimerService,
        slots: table.SlotTable,
        health_service: health.HealthService,
        bounds: admission.Bounds,
        rng: random.Random,
        configuration: Callable[[], document.Document | None],
    ) -> None:
        super().__init__(
            timer_service=timer_service,
            slots=slots,
            health_service=health_service,
            bounds=bounds,
            rng=rng,
            configuration=configuration,
        )
        self.port = port
        self.on_enqueue: list[Callable[[int], object]] = []
        self.callbacks: dict[names.SubmissionId, FinishedCallback] = {}
        self.deadlines: dict[names.SubmissionId, timers.Timer] = {}
        self.slot_holder: SlotHolder | None = None
        self.dispatch_scheduled = False
        self.hold_monitor = hold_monitor.HoldMonitor(
            timer_service=timer_service,
            queue=self.queue,
            on_released=self.dispatch_tasks,
        )

    def enqueue(
        self, job: submission.Submission, on_finished: FinishedCallback
    ) -> None:
        """Queue every task of a submission.

        Args:
            job: Submission of this owner.
            on_finished: Called once when no task is queued or running.
        """
        submission_id = job.request.submission_id
        self.callbacks[submission_id] = on_finished
        self.deadlines[submission_id] = self.timers.call_after(
            max(0, job.request.deadline_s - self.timers.now()),
            lambda: self.end_submission(job, codes.ResultCode.DEADLINE_PASSED),
        )
        self.queue.add(job)
        for callback in self.on_enqueue:
            callback(len(job.tasks))
        for victim in self.overflow_victims():
            self.end_submission(victim, codes.ResultCode.OVERLOADED)
        self.dispatch_tasks()

    def end_submission(
        self, job: submission.Submission, code: codes.ResultCode
    ) -> None:
        """End a submission: drop queued tasks, let running ones finish."""
        job.end(code, codes.info_of(code).meaning)
        self.queue.remove(job.request.submission_id)
        self.report_if_finished(job)

    def release(self, job: submission.Submission) -> None:
        """Make the tasks of a job whose hold has ended eligible to start."""
        self.queue.rerank(job)
        self.schedule_dispatch()

    def set_upstreams(self, listed: tuple[table.UpstreamUse, ...]) -> None:
        """Apply a new list of upstreams with this instance's shares."""
        self.slots.set_upstreams(listed)
        self.health.list_upstreams(listed)
        self.dispatch_tasks()

    def schedule_dispatch(self) -> None:
        """Schedule one dispatch of queued tasks in the event loop."""
        if not self.dispatch_scheduled:
            self.dispatch_scheduled = True
            self.timers.call_after(0, self.dispatch_tasks)

    def dispatch_tasks(self) -> None:
        """Start queued tasks while a slot is free and a job may use it."""
        self.dispatch_scheduled = False
        for name in tuple(self.queue.pools):
            started = True
            while started:
                started = self.start_next(name)
        self.hold_monitor.schedule_check()
        if self.slot_holder is not None:
            self.slot_holder.on_queues_changed()

    def start_next(self, name: names.PoolName) -> bool:
        """Start the next task of a pool; return whether there was one."""
        pool = self.slots.pool(name)
        use = self.slots.choose(name)
        if use is None:
            return False
        picked = self.queue.pick(name, pool.capacity(), pool.free)
        if picked is None:
            return False
        if picked.job.start(picked.index):
            self.start_attempt(use, picked)
        else:
            self.queue.record_end(picked, 0)
        return True

    def start_attempt(self, use: table.UpstreamUse, pick: entries.Pick) -> None:
        """Start one picked task on an upstream."""
        request = pick.job.request
        self.slots.acquire(use)
        attempt = upstreams.Attempt(
            submission_id=request.submission_id,
            index=pick.index,
            job=request.job,
            payload=bytes(request.tasks[pick.index].payload),
        )
        started_s = self.timers.now()
        pending = self.port.start(use.upstream, attempt)
        pending.addCallback(self.attempt_ended, use, pick, started_s)

    def attempt_ended(
        self,
        outcome: attempts.AttemptOutcome,
        use: table.UpstreamUse,
        pick: entries.Pick,
        started_s: float,
    ) -> None:
        """Record the outcome of an attempt and free its slot."""
        duration_s = self.timers.now() - started_s
        self.health.record(use, pick.job.request.job, outcome)
        remaining_s = self.queue.run_times.overall_s - duration_s
        cooldown_s = cooldown_after(outcome, use, remaining_s)
        self.queue.record_end(
            pick, self.queue.run_times.record_attempt(pick, outcome, duration_s)
        )
        if pick.job.finish(pick.index, outcome):
            self.queue.requeue(pick)
        if pick.job.ending:
            self.queue.remove(pick.job.request.submission_id)
        self.report_if_finished(pick.job)
        if cooldown_s:
            self.timers.call_after(cooldown_s, lambda: self.slot_freed(use))
        else:
            self.slot_freed(use)

    def slot_freed(self, use: table.UpstreamUse) -> None:
        """Reuse a slot, unless the slot holder returns it."""
        current = self.slots.uses.get(use.upstream.name)
        if current is not None:
            self.slots.release(current)
            if self.slot_holder is not None:
                self.slot_holder.slot_freed(current)
        self.schedule_dispatch()

    def report_if_finished(self, job: submission.Submission) -> None:
        """Call the submission's callback once, when it has finished."""
        submission_id = job.request.submission_id
        queued = self.queue.jobs.get(submission_id)
        if queued is not None and (queued.running or queued.waiting):
            return
        if not job.is_finished():
            return
        self.queue.remove(submission_id)
        deadline = self.deadlines.pop(submission_id, None)
        if deadline is not None:
            deadline.cancel()
        callback = self.callbacks.pop(submission_id, None)
        if callback is not None:
            callback(job)


def equal_uses(
    listed: tuple[upstreams.Upstream, ...], index: int, count: int
) -> tuple[table.UpstreamUse, ...]:
    """Divide the slots of every upstream evenly over the instances.

    Args:
        listed: Upstreams of the platform's list.
        index: Index of this instance among all, from 0.
        count: Live entry instances.

    Returns:
        One use per upstream.
    """
    shares = division.equal_shares(listed, index, count)
    return tuple(
        table.UpstreamUse(
            upstream=listed_upstream, share=shares[listed_upstream.name]
        )
        for listed_upstream in listed
    )


def cooldown_after(
    outcome: attempts.AttemptOutcome, use: table.UpstreamUse, remaining_s: float
) -> float:
    """Return how long a slot stays unused before its next task.

    After a failure it stays unused until a task of mean length would have
    ended, so that an upstream that fails fast does not attract more work.
    The time doubles with repeated refusals, so that a slot which two
    instances both count as their own causes few messages.

    Args:
        outcome: Outcome of the attempt.
        use: This instance's use of the upstream.
        remaining_s: Seconds by which it was shorter than the mean task.

    Returns:
        Seconds, 0 for none.
    """
    match outcome:
        case attempts.NotStarted():
            doublings = min(use.consecutive_refusals, _MAX_COOLDOWN_DOUBLINGS)
            use.consecutive_refusals += 1
            return _REFUSAL_COOLDOWN_S * math.pow(2, doublings)
        case attempts.Failed() | attempts.Lost():
            use.consecutive_refusals = 0
            return max(0, remaining_s)
    use.consecutive_refusals = 0
    return 0
