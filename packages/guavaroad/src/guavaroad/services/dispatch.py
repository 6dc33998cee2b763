"""Queues the tasks of submissions and hands them to free slots."""

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
from guavaroad.services import health, held_watch, intake

Settled = Callable[[submission.Submission], None]

_BUSY_REST_S: Final = 0.02
_BUSY_DOUBLINGS: Final = 4


class SlotKeeper(Protocol):
    """Decides which slots this instance keeps."""

    def slot_freed(self, use: table.UpstreamUse) -> None:
        """Take note that a slot came free; it may be given back."""

    def pumped(self) -> None:
        """Take note that queues or free slots changed."""


class Dispatcher(intake.Intake):
    """Starts queued tasks on free slots, and reports settled submissions."""

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
        self.callbacks: dict[names.SubmissionId, Settled] = {}
        self.deadlines: dict[names.SubmissionId, timers.Timer] = {}
        self.keeper: SlotKeeper | None = None
        self.pump_due = False
        self.held_watch = held_watch.HeldWatch(
            timer_service=timer_service, queue=self.queue, freed=self.pump
        )

    def enqueue(self, job: submission.Submission, settled: Settled) -> None:
        """Queue every task of a submission.

        Args:
            job: Submission of this owner.
            settled: Called once when no task is queued or running.
        """
        submission_id = job.request.submission_id
        self.callbacks[submission_id] = settled
        self.deadlines[submission_id] = self.timers.call_after(
            max(0, job.request.deadline_s - self.timers.now()),
            lambda: self.give_up(job, codes.ResultCode.DEADLINE_PASSED),
        )
        self.queue.add(job)
        for enqueued in self.on_enqueue:
            enqueued(len(job.tasks))
        for victim in self.overflow():
            self.give_up(victim, codes.ResultCode.OVERLOADED)
        self.pump()

    def give_up(
        self, job: submission.Submission, code: codes.ResultCode
    ) -> None:
        """End a submission: queued tasks are dropped, running ones end."""
        job.end(code, codes.info_of(code).meaning)
        self.queue.remove(job.request.submission_id)
        self.report_if_settled(job)

    def release(self, job: submission.Submission) -> None:
        """Let the tasks of a job start whose hold has ended."""
        self.queue.rerank(job)
        self.schedule_pump()

    def set_upstreams(self, listed: tuple[table.UpstreamUse, ...]) -> None:
        """Take a new list of upstreams with this instance's shares."""
        self.slots.set_upstreams(listed)
        self.health.list_upstreams(listed)
        self.pump()

    def schedule_pump(self) -> None:
        """Start what can start, once in this turn of the loop."""
        if not self.pump_due:
            self.pump_due = True
            self.timers.call_after(0, self.pump)

    def pump(self) -> None:
        """Start tasks while a slot is free and a job may use it."""
        self.pump_due = False
        for name in tuple(self.queue.pools):
            started = True
            while started:
                started = self.start_next(name)
        self.held_watch.look_soon()
        if self.keeper is not None:
            self.keeper.pumped()

    def start_next(self, name: names.PoolName) -> bool:
        """Start the next task of a pool; return whether one was taken."""
        pool = self.slots.pool(name)
        use = self.slots.choose(name)
        if use is None:
            return False
        pick = self.queue.pick(name, pool.capacity(), pool.free)
        if pick is None:
            return False
        if pick.job.start(pick.index):
            self.start(use, pick)
        else:
            self.queue.record_end(pick, 0)
        return True

    def start(self, use: table.UpstreamUse, pick: entries.Pick) -> None:
        """Hand one claimed task to an upstream."""
        request = pick.job.request
        self.slots.acquire(use)
        attempt = upstreams.Attempt(
            submission_id=request.submission_id,
            index=pick.index,
            job=request.job,
            payload=bytes(request.tasks[pick.index].payload),
        )
        began_s = self.timers.now()
        pending = self.port.start(use.upstream, attempt)
        pending.addCallback(self.attempt_ended, use, pick, began_s)

    def attempt_ended(
        self,
        outcome: attempts.AttemptOutcome,
        use: table.UpstreamUse,
        pick: entries.Pick,
        began_s: float,
    ) -> None:
        """Take the outcome of an attempt and start what can start next."""
        took_s = self.timers.now() - began_s
        self.health.record(use, pick.job.request.job, outcome)
        unused_s = self.queue.run_times.overall_s - took_s
        rest_s = rest_after_s(outcome, use, unused_s)
        self.queue.record_end(
            pick, self.queue.run_times.record_attempt(pick, outcome, took_s)
        )
        if pick.job.finish(pick.index, outcome):
            self.queue.requeue(pick)
        if pick.job.ending:
            self.queue.remove(pick.job.request.submission_id)
        self.report_if_settled(pick.job)
        if rest_s:
            self.timers.call_after(rest_s, lambda: self.slot_freed(use))
        else:
            self.slot_freed(use)

    def slot_freed(self, use: table.UpstreamUse) -> None:
        """Use a slot again, unless the keeper gives it back."""
        known = self.slots.uses.get(use.upstream.name)
        if known is not None:
            self.slots.release(known)
            if self.keeper is not None:
                self.keeper.slot_freed(known)
        self.schedule_pump()

    def report_if_settled(self, job: submission.Submission) -> None:
        """Call the submission's callback once, when it has settled."""
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
        settled = self.callbacks.pop(submission_id, None)
        if settled is not None:
            settled(job)


def equal_uses(
    listed: tuple[upstreams.Upstream, ...], index: int, count: int
) -> tuple[table.UpstreamUse, ...]:
    """Divide the slots of every upstream evenly over the instances.

    Args:
        listed: Upstreams of the platform's list.
        index: Place of this instance among all, from 0.
        count: Live entry instances.

    Returns:
        One use an upstream.
    """
    shares = division.equal_shares(listed, index, count)
    return tuple(
        table.UpstreamUse(upstream=known, share=shares[known.name])
        for known in listed
    )


def rest_after_s(
    outcome: attempts.AttemptOutcome, use: table.UpstreamUse, unused_s: float
) -> float:
    """Return how long a slot rests before its next task.

    A slot whose task failed rests until a usual task would have ended, so
    that an upstream that fails at once attracts no more work.  One that is
    refused again and again rests longer, so that slots which two instances
    believe to hold cost few messages.

    Args:
        outcome: What became of the attempt.
        use: This instance's use of the upstream.
        unused_s: Seconds by which it was shorter than a usual task.

    Returns:
        Seconds, 0 for none.
    """
    match outcome:
        case attempts.NotStarted():
            doublings = min(use.consecutive_refusals, _BUSY_DOUBLINGS)
            use.consecutive_refusals += 1
            return _BUSY_REST_S * math.pow(2, doublings)
        case attempts.Failed() | attempts.Lost():
            use.consecutive_refusals = 0
            return max(0, unused_s)
    use.consecutive_refusals = 0
    return 0
