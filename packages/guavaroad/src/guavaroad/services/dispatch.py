"""Queues the tasks of submissions and hands them to free slots."""

import dataclasses
from collections.abc import Callable

from guavaroad.domain import attempts, codes, jobs, names
from guavaroad.domain.scheduling import queues
from guavaroad.domain.submissions import submission
from guavaroad.ports import timers, upstreams

Settled = Callable[[submission.Submission], None]


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamUse:
    """This instance's use of one upstream.

    Attributes:
        upstream: The upstream.
        share: Slots this instance may fill.
        running: Tasks of this instance running there.
    """

    upstream: upstreams.Upstream
    share: int
    running: int = 0

    def free(self) -> int:
        """Return the slots that may be filled now."""
        if self.upstream.leaving:
            return 0
        return max(0, self.share - self.running)


class Dispatcher:
    """Starts queued tasks on free slots, and reports settled submissions."""

    def __init__(
        self,
        *,
        port: upstreams.UpstreamPort,
        timer_service: timers.TimerService,
        max_queued_tasks: int,
    ) -> None:
        self.port = port
        self.timers = timer_service
        self.max_queued_tasks = max_queued_tasks
        self.queue = queues.JobQueue()
        self.uses: dict[names.UpstreamName, UpstreamUse] = {}
        self.callbacks: dict[names.SubmissionId, Settled] = {}
        self.deadlines: dict[names.SubmissionId, timers.Timer] = {}

    def refusal(self, task_count: int) -> codes.ResultCode | None:
        """Return why a job of that size can't be queued, if it can't."""
        if self.queue.task_count + task_count > self.max_queued_tasks:
            return codes.ResultCode.OVERLOADED
        return None

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
        self.pump()

    def give_up(
        self, job: submission.Submission, code: codes.ResultCode
    ) -> None:
        """End a submission: queued tasks are dropped, running ones end."""
        job.end(code, codes.facts_of(code).meaning)
        self.queue.remove(job.request.submission_id)
        self.report_if_settled(job)

    def set_upstreams(self, listed: tuple[UpstreamUse, ...]) -> None:
        """Take a new list of upstreams with this instance's shares."""
        running = {name: use.running for name, use in self.uses.items()}
        self.uses = {use.upstream.name: use for use in listed}
        for name, use in self.uses.items():
            use.running = running.get(name, 0)
        self.pump()

    def pump(self) -> None:
        """Start tasks while a slot is free and a job has a queued task."""
        freest = sorted(self.uses.values(), key=UpstreamUse.free, reverse=True)
        for use in freest:
            while use.free():
                pick = self.queue.pick(use.upstream.pool)
                if pick is None:
                    break
                self.start(use, pick)

    def start(self, use: UpstreamUse, pick: queues.Pick) -> None:
        """Claim one task and hand it to the upstream."""
        request = pick.job.request
        if not pick.job.start(pick.index):
            self.queue.ended(request.submission_id)
            return
        use.running += 1
        attempt = upstreams.Attempt(
            submission_id=request.submission_id,
            index=pick.index,
            job=request.job,
            payload=bytes(request.tasks[pick.index].payload),
        )
        pending = self.port.start(use.upstream, attempt)
        pending.addCallback(self.attempt_ended, use.upstream.name, pick)

    def attempt_ended(
        self,
        outcome: attempts.AttemptOutcome,
        name: names.UpstreamName,
        pick: queues.Pick,
    ) -> None:
        """Take the outcome of an attempt and start what can start next."""
        use = self.uses.get(name)
        if use is not None:
            use.running -= 1
        self.queue.ended(pick.job.request.submission_id)
        if pick.job.finish(pick.index, outcome):
            self.queue.put_back(pick)
        if pick.job.ending:
            self.queue.remove(pick.job.request.submission_id)
        self.report_if_settled(pick.job)
        self.timers.call_after(retry_delay_s(outcome), self.pump)

    def report_if_settled(self, job: submission.Submission) -> None:
        """Call the submission's callback once, when it has settled."""
        submission_id = job.request.submission_id
        if not job.settled():
            return
        self.queue.remove(submission_id)
        deadline = self.deadlines.pop(submission_id, None)
        if deadline is not None:
            deadline.cancel()
        settled = self.callbacks.pop(submission_id, None)
        if settled is not None:
            settled(job)


RETRY_DELAY_S = 0.02


def retry_delay_s(outcome: attempts.AttemptOutcome) -> float:
    """Return how long to wait before the freed slot is used again."""
    match outcome:
        case attempts.NotStarted():
            return RETRY_DELAY_S
    return 0


def static_uses(
    listed: tuple[upstreams.Upstream, ...], instance_count: int
) -> tuple[UpstreamUse, ...]:
    """Divide the slots of every upstream evenly over the instances.

    Args:
        listed: Upstreams of the platform's list.
        instance_count: Live entry instances.

    Returns:
        One use an upstream.
    """
    return tuple(
        UpstreamUse(
            upstream=upstream,
            share=max(1, upstream.slots // max(1, instance_count)),
        )
        for upstream in listed
    )


def outcome_of(job: submission.Submission) -> jobs.JobOutcome:
    """Return the outcome of a settled submission."""
    return job.outcome()
