"""Attempts of clients to hand in jobs at this instance."""

from collections.abc import Callable
from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    agent_messages,
    generations,
    messages,
    open_jobs,
    values,
)
from guavaroad.ports import timers
from guavaroad.services.pool import decision_log

# Minimum retention of the ids of jobs that may have run, in seconds. Clients
# send jobs without a result again after 1.3 s.
STARTED_RETENTION_S: Final = 5


class OpenAttempts:
    """Numbers the attempts, and tells them apart in messages.

    Attributes:
        jobs: Open jobs by id.
        number: Number of the last attempt.
        started: Jobs that may have run recently: a client may send them again.
        abandoned: Last attempts at jobs that the allocator may still have.
    """

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        log: decision_log.DecisionLog,
    ) -> None:
        now_s = timer_service.now()
        self.timers = timer_service
        self.decision_log = log
        self.jobs: dict[values.JobId, open_jobs.OpenJob] = {}
        # An earlier process under this name has used lower numbers.
        self.number = units.to_ms(now_s)
        self.started: generations.Generations[values.JobId, bool] = (
            generations.Generations(
                retention_s=STARTED_RETENTION_S, now_s=now_s
            )
        )
        self.abandoned: generations.Generations[
            values.JobId, values.AttemptNumber
        ] = generations.Generations(
            retention_s=STARTED_RETENTION_S, now_s=now_s
        )

    def begin(
        self,
        request: open_jobs.JobRequest,
        on_outcome: Callable[[open_jobs.JobOutcome], None],
    ) -> open_jobs.OpenJob:
        """Open a job under a new number.

        Args:
            request: The validated submission.
            on_outcome: Called once with the outcome.

        Returns:
            The open job.
        """
        now_s = self.timers.now()
        self.number += 1
        job = open_jobs.open_job(
            request,
            attempt=values.AttemptNumber(self.number),
            now_s=now_s,
            on_outcome=on_outcome,
        )
        self.started.expire(now_s)
        self.abandoned.expire(now_s)
        job.may_have_run_before = bool(self.started.find(request.job_id))
        self.jobs[request.job_id] = job
        return job

    def end(
        self, job: open_jobs.OpenJob, outcome: open_jobs.JobOutcome
    ) -> None:
        """Remove a job, and record whether it may have run.

        The answer may be lost, also one with a result.
        """
        self.jobs.pop(job.request.job_id)
        is_refused = isinstance(outcome, open_jobs.NotRun)
        if not is_refused and (job.was_declared or job.may_have_started()):
            self.started.record(job.request.job_id, entry=True)
            if isinstance(outcome, open_jobs.OutcomeUnknown):
                self.abandoned.record(job.request.job_id, job.attempt)

    def repeated_withdrawals(self) -> list[messages.Withdraw]:
        """Return the withdrawals that may be lost with a link."""
        return [
            messages.Withdraw(job=job_id, attempt=attempt)
            for job_id, attempt in self.abandoned.entries()
            if job_id not in self.jobs
        ]

    def outcome_without(
        self, job_id: values.JobId, reason: str
    ) -> open_jobs.NotRun | open_jobs.OutcomeUnknown:
        """Return the outcome of an attempt that is not admitted.

        The attempts before may have run.

        Args:
            job_id: Id of the job.
            reason: Why it is not admitted.
        """
        if job_id in self.jobs or self.started.find(job_id):
            return open_jobs.OutcomeUnknown(reason=reason)
        return open_jobs.NotRun(reason=reason)

    def find(
        self, message: messages.ToOwner | agent_messages.LaunchRuns
    ) -> open_jobs.OpenJob | None:
        """Return the open job that a message of the allocator is about.

        Args:
            message: The message.

        Returns:
            The job, or None if that attempt is over.
        """
        job = self.jobs.get(message.job)
        if job is None or message.attempt in {values.ANY_ATTEMPT, job.attempt}:
            return job
        self.decision_log.log_event(
            'stale_attempt',
            job=message.job,
            kind=type(message).__name__,
            attempt=message.attempt,
            now=job.attempt,
        )
        return None
