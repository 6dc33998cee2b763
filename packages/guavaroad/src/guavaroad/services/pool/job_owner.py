"""Owns the jobs of this instance's clients.

Declares them to the allocator, and answers the clients.
"""

from collections.abc import Callable
from typing import Final, Protocol

from guavaroad.domain import units
from guavaroad.domain.pool import (
    messages,
    open_jobs,
    peer_messages,
    values,
)
from guavaroad.ports import timers
from guavaroad.services.pool import (
    allocator_contact,
    decision_log,
    open_attempts,
)

# A job is withdrawn this long before its client times out, in milliseconds:
# the allocator's answer that nothing has started must come back in time.
WITHDRAW_MARGIN_MS: Final = 90
# A job is answered this long before its client times out, in milliseconds.
ANSWER_MARGIN_MS: Final = 25
# A job that could not be declared to an allocator is refused after this share
# of the client's timeout. A takeover takes about half a second.
UNDECLARED_TIMEOUT_SHARE: Final = 0.42


class Sender(Protocol):
    """A link to the allocator."""

    def send(self, message: peer_messages.ToAllocator) -> None:
        """Send a message."""


class JobOwner:
    """Open jobs of this instance.

    Attributes:
        attempts: Attempts of clients to hand in jobs.
        jobs: Open jobs by id.
        link: Link to the allocator, if there is one.
        token: Token of the allocator that was last linked.
        launches: Whether this instance sends the start orders of its jobs, as
            the allocator asks for.
        contact: When this instance was last in contact with an allocator.
    """

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        log: decision_log.DecisionLog,
    ) -> None:
        self.launches = False
        self.timers = timer_service
        self.decision_log = log
        self.attempts = open_attempts.OpenAttempts(
            timer_service=timer_service, log=log
        )
        self.jobs = self.attempts.jobs
        self.link: Sender | None = None
        self.token = values.Token(0)
        self.contact = allocator_contact.AllocatorContact(
            timer_service=timer_service
        )

    def submit(
        self,
        request: open_jobs.JobRequest,
        on_outcome: Callable[[open_jobs.JobOutcome], None],
    ) -> open_jobs.OpenJob:
        """Open a job and declare it to the allocator.

        Args:
            request: The validated submission.
            on_outcome: Called once with the outcome.

        Returns:
            The open job.
        """
        previous = self.jobs.get(request.job_id)
        if previous is not None:
            # The client has sent the job again: it no longer waits for the
            # answer to its earlier request.
            self.finish(previous, open_jobs.OutcomeUnknown(reason='sent_again'))
        job = self.attempts.begin(request, on_outcome)
        job.unconfirmed = previous is not None
        job.starts_known = previous is None and not job.may_have_run_before
        if self.link is not None:
            self.declare(job)
        timeout_ms = request.client_timeout_ms
        self.call_if_open(
            job, timeout_ms * UNDECLARED_TIMEOUT_SHARE, self.check_declared
        )
        self.call_if_open(job, timeout_ms - WITHDRAW_MARGIN_MS, self.withdraw)
        self.call_if_open(job, timeout_ms - ANSWER_MARGIN_MS, self.expire)
        return job

    def call_if_open(
        self,
        job: open_jobs.OpenJob,
        delay_ms: float,
        action: Callable[[open_jobs.OpenJob], object],
    ) -> None:
        """Call a function after a delay, if the job is still open then."""
        job.timers.append(
            self.timers.call_after(
                max(delay_ms, 0) / units.MS_PER_S, lambda: action(job)
            )
        )

    def declare(self, job: open_jobs.OpenJob) -> None:
        """Declare a job to the allocator."""
        if self.link is not None:
            self.link.send(
                job.declaration(
                    self.timers.now(),
                    with_payload=not self.launches,
                    contact_age_ms=self.contact.age_ms(),
                )
            )
            job.declared = True
            job.was_declared = True

    def check_declared(self, job: open_jobs.OpenJob) -> None:
        """Refuse a job that has no allocator and has certainly not started."""
        if not job.declared and job.is_unstarted():
            abandon(self, job, 'no_allocator')

    def withdraw(self, job: open_jobs.OpenJob) -> None:
        """Withdraw a job shortly before its client times out."""
        if job.declared and self.link is not None:
            self.link.send(job.withdrawal())
        elif job.is_unstarted():
            abandon(self, job, 'no_allocator')

    def expire(self, job: open_jobs.OpenJob) -> None:
        """Answer a job that has no outcome yet."""
        abandon(self, job, 'no_word_in_time')

    def on_client_gone(self, job: open_jobs.OpenJob) -> None:
        """Withdraw a job whose client has disconnected."""
        if self.jobs.get(job.request.job_id) is job:
            if self.link is not None and job.declared:
                self.link.send(job.withdrawal())
            self.finish(job, open_jobs.OutcomeUnknown(reason='client_left'))

    def on_allocator_linked(
        self,
        link: Sender,
        token: values.Token,
        *,
        has_declared_jobs: bool,
        launches: bool,
    ) -> None:
        """Declare every open job to an allocator, and withdraw ended ones.

        Args:
            link: Link to the allocator.
            token: Its token.
            has_declared_jobs: Whether it still has the jobs that this instance
                declared to it before.
            launches: Whether this instance sends the start orders.
        """
        self.launches = launches
        is_confirmed = token == self.token and has_declared_jobs
        self.link = link
        self.token = token
        for job in self.jobs.values():
            if job.was_declared:
                job.unconfirmed = job.unconfirmed or not is_confirmed
                state = 'unconfirmed' if job.unconfirmed else 'confirmed'
                job.record_event(
                    'declared_again', job.age_ms(self.timers.now()), state
                )
            self.declare(job)
        # Their withdrawals may be lost with the previous link or allocator.
        for withdrawal in self.attempts.repeated_withdrawals():
            link.send(withdrawal)
        # The jobs were declared with the age of the contact before.
        self.contact.on_followed()

    def on_allocator_lost(self) -> None:
        """Mark every job as not declared."""
        self.link = None
        for job in self.jobs.values():
            if job.declared:
                job.declared = False
                job.record_event(
                    'allocator_lost', job.age_ms(self.timers.now())
                )

    def receive(self, message: messages.ToOwner) -> None:
        """Process a message of the allocator about a job."""
        job = self.attempts.find(message)
        if job is None:
            return
        match message:
            case messages.Begun():
                job.record_starts(message)
                event = 'started' if message.starts else 'losses_cleared'
                job.record_event(
                    event,
                    job.age_ms(self.timers.now()),
                    message.starts or message.losses,
                )
            case messages.Ended():
                self.record_end(job, message)
            case messages.GivenUp():
                age_ms = job.age_ms(self.timers.now())
                job.record_event(message.reason.value, age_ms, message.detail)
                self.finish(job, job.given_up_outcome(message))

    def record_end(
        self, job: open_jobs.OpenJob, message: messages.Ended
    ) -> None:
        """Record the end of a run; answer the job if it was the last one."""
        if message.kind is not values.EndKind.DONE:
            age_ms = job.age_ms(self.timers.now())
            task = job.tasks[message.index]
            job.record_event(
                message.kind.value, age_ms, (message.index, task.worker)
            )
        if job.record_end(message):
            self.finish(job, open_jobs.Completed())

    def finish_all(self, reason: str) -> None:
        """Answer every open job before the process ends.

        Args:
            reason: Reason that is given in the answers.
        """
        for job in tuple(self.jobs.values()):
            if self.link is not None and job.declared:
                self.link.send(job.withdrawal())
            self.finish(job, job.abandoned_outcome(reason))

    def finish(
        self, job: open_jobs.OpenJob, outcome: open_jobs.JobOutcome
    ) -> None:
        """Answer a job and remove it."""
        if self.jobs.get(job.request.job_id) is not job:
            return
        self.attempts.end(job, outcome)
        for timer in job.timers:
            timer.cancel()
        self.decision_log.log_job_outcome(
            job, outcome, job.age_ms(self.timers.now())
        )
        job.on_outcome(outcome)


def abandon(owner: JobOwner, job: open_jobs.OpenJob, reason: str) -> None:
    """Answer a job without the word of an allocator.

    An allocator that still has it is told when it is linked again.

    Args:
        owner: Owner of the job.
        job: The job.
        reason: Why its end is not awaited any longer.
    """
    if job.was_declared:
        owner.attempts.abandoned.record(job.request.job_id, job.attempt)
    owner.finish(job, job.abandoned_outcome(reason))
