"""Keeps the jobs whose clients wait here, and tells the allocator of them."""

from collections.abc import Callable
from typing import Any, Final, Protocol

from guavaroad.domain import units
from guavaroad.domain.pool import messages, open_jobs, peer_messages, values
from guavaroad.ports import timers
from guavaroad.services.pool import decision_log

# The allocator's word that nothing started must be back before the client
# stops waiting, in milliseconds.
WITHDRAW_MARGIN_MS: Final = 90
# The answer must reach the client in time, in milliseconds.
ANSWER_MARGIN_MS: Final = 25
# A job that no allocator was told of is refused after this share of the
# client's time: a takeover takes about half a second.
UNDECLARED_SHARE: Final = 0.42


class Sender(Protocol):
    """A link to the allocator."""

    def send(self, message: peer_messages.ToAllocator) -> None:
        """Send a message."""


class OwnerDesk:
    """Open jobs of this instance.

    Attributes:
        jobs: Open jobs by id.
        link: Link to the allocator, if there is one.
        token: Token of the allocator of the last link.
    """

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        book: decision_log.DecisionLog,
    ) -> None:
        self.timers = timer_service
        self.journal = book
        self.jobs: dict[values.JobId, open_jobs.OpenJob] = {}
        self.link: Sender | None = None
        self.token = values.Token(0)

    def submit(
        self,
        request: open_jobs.JobRequest,
        on_outcome: Callable[[open_jobs.JobOutcome], None],
    ) -> open_jobs.OpenJob:
        """Take a job.

        Args:
            request: The checked submission.
            on_outcome: Called once with the outcome.

        Returns:
            The open job.
        """
        before = self.jobs.get(request.job_id)
        if before is not None:
            # The client has given up on the line that the job came by.
            self.end(before, open_jobs.OutcomeUnknown(reason='sent_again'))
        now_s = self.timers.now()
        job = open_jobs.open_job(request, now_s=now_s, on_outcome=on_outcome)
        job.unconfirmed = before is not None
        self.jobs[request.job_id] = job
        if self.link is not None:
            self.declare(job)
        patience_ms = request.client_timeout_ms
        self.after(job, patience_ms * UNDECLARED_SHARE, self.check_declared)
        self.after(job, patience_ms - WITHDRAW_MARGIN_MS, self.withdraw)
        self.after(job, patience_ms - ANSWER_MARGIN_MS, self.expire)
        return job

    def after(
        self,
        job: open_jobs.OpenJob,
        delay_ms: float,
        action: Callable[[open_jobs.OpenJob], object],
    ) -> None:
        """Do something with a job if it is still open after a time."""
        job.timers.append(
            self.timers.call_after(
                max(delay_ms, 0) / units.MS_PER_S, lambda: action(job)
            )
        )

    def declare(self, job: open_jobs.OpenJob) -> None:
        """Tell the allocator of a job."""
        if self.link is not None:
            self.link.send(job.declaration(self.timers.now()))
            job.declared = True
            job.was_declared = True

    def check_declared(self, job: open_jobs.OpenJob) -> None:
        """Refuse a job that no allocator could be told of."""
        if not job.was_declared and not job.may_have_started():
            self.end(job, open_jobs.NotRun(reason='no_allocator'))

    def withdraw(self, job: open_jobs.OpenJob) -> None:
        """Give a job up whose client will not wait much longer."""
        if job.declared and self.link is not None:
            self.link.send(messages.Withdraw(job=job.request.job_id))
        elif not job.was_declared and not job.may_have_started():
            self.end(job, open_jobs.NotRun(reason='no_allocator'))

    def expire(self, job: open_jobs.OpenJob) -> None:
        """Answer a job that nobody could say more of."""
        self.end(job, open_jobs.OutcomeUnknown(reason='no_word_in_time'))

    def client_gone(self, job: open_jobs.OpenJob) -> None:
        """Let go of a job whose client has left."""
        if self.jobs.get(job.request.job_id) is job:
            if self.link is not None and job.declared:
                self.link.send(messages.Withdraw(job=job.request.job_id))
            self.end(job, open_jobs.OutcomeUnknown(reason='client_left'))

    def linked(
        self, link: Sender, token: values.Token, *, remembered: bool
    ) -> None:
        """Tell an allocator of every open job.

        Args:
            link: Link to it.
            token: Its token.
            remembered: Whether it still has the jobs that it was told of.
        """
        knows = token == self.token and remembered
        self.link = link
        self.token = token
        for job in self.jobs.values():
            job.unconfirmed = job.unconfirmed or (
                job.was_declared and not knows
            )
            self.declare(job)

    def unlinked(self) -> None:
        """Note that the allocator is lost."""
        self.link = None
        for job in self.jobs.values():
            if job.declared:
                job.declared = False
                job.record_event(
                    'allocator_lost', job.age_ms(self.timers.now())
                )

    def take(self, message: Any) -> None:
        """Take what the allocator says of a job."""
        job = self.jobs.get(message.job)
        if job is None:
            return
        match message:
            case messages.Begun():
                job.record_starts(message)
                job.record_event(
                    'started', job.age_ms(self.timers.now()), message.starts
                )
            case messages.Ended():
                self.take_ended(job, message)
            case messages.GivenUp():
                age_ms = job.age_ms(self.timers.now())
                job.record_event(message.reason.value, age_ms, message.detail)
                self.end(job, job.given_up_outcome(message))

    def take_ended(
        self, job: open_jobs.OpenJob, message: messages.Ended
    ) -> None:
        """Take the end of a run."""
        if message.kind is not values.EndKind.DONE:
            age_ms = job.age_ms(self.timers.now())
            task = job.tasks[message.index]
            job.record_event(
                message.kind.value, age_ms, (message.index, task.worker)
            )
        if job.record_end(message):
            self.end(job, open_jobs.Completed())

    def end_all(self, reason: str) -> None:
        """Answer every open job, as the process ends."""
        for job in tuple(self.jobs.values()):
            if self.link is not None and job.declared:
                self.link.send(messages.Withdraw(job=job.request.job_id))
            self.end(job, job.abandoned_outcome(reason))

    def end(
        self, job: open_jobs.OpenJob, outcome: open_jobs.JobOutcome
    ) -> None:
        """Answer a job and forget it."""
        if self.jobs.get(job.request.job_id) is not job:
            return
        self.jobs.pop(job.request.job_id)
        for timer in job.timers:
            timer.cancel()
        self.journal.log_job_outcome(
            job, outcome, job.age_ms(self.timers.now())
        )
        job.on_outcome(outcome)
