"""Checks that jobs that were answered as not run are not run."""

import dataclasses

from guavaroad.domain.pool import open_jobs


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One submission of a job by its client.

    Attributes:
        instance: Instance that it was sent to.
        sent_s: Time at which it was sent, in seconds.
        answered_s: Time of the answer, in seconds; none before.
        outcome: The answer that the client has received.
    """

    instance: str
    sent_s: float
    answered_s: float | None = None
    outcome: open_jobs.JobOutcome | None = None

    def is_refused(self):
        """Return whether it was answered as not run."""
        return isinstance(self.outcome, open_jobs.NotRun)

    def __str__(self):
        """Describe the attempt."""
        if self.answered_s is None:
            return f'{self.instance} {self.sent_s:.3f} s: no answer'
        return (
            f'{self.instance} {self.sent_s:.3f}-{self.answered_s:.3f} s: '
            f'{self.outcome}'
        )


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PromisedJob:
    """A job with its attempts and starts.

    Attributes:
        attempts: Its attempts.
        starts: Time and task of every start.
    """

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    starts: list[tuple[float, str]] = dataclasses.field(default_factory=list)

    def is_refused(self):
        """Return whether every attempt was answered as not run."""
        return bool(self.attempts) and all(
            attempt.is_refused() for attempt in self.attempts
        )

    def has_false_answer(self):
        """Return whether an attempt was refused although it has started."""
        return any(
            attempt.is_refused()
            and attempt.sent_s <= start_s <= attempt.answered_s
            for attempt in self.attempts
            for start_s, _ in self.starts
        )

    def has_forgotten_start(self):
        """Return whether an attempt was refused after an earlier one started.

        The earlier attempt had no answer, or one without a result.
        """
        return any(
            attempt.is_refused() and start_s < attempt.sent_s
            for attempt in self.attempts
            for start_s, _ in self.starts
        )

    def is_started_late(self):
        """Return whether a start follows the last attempt, which was refused.

        Earlier attempts may have had no answer.
        """
        if not self.attempts or not self.attempts[-1].is_refused():
            return False
        return any(
            start_s > self.attempts[-1].answered_s for start_s, _ in self.starts
        )

    def __str__(self):
        """Describe the job."""
        attempts = '; '.join(map(str, self.attempts))
        starts = ', '.join(
            f'{name} at {start_s:.3f} s' for start_s, name in self.starts
        )
        return f'attempts {attempts}; starts {starts}'


class Promises:
    """Attempts and starts of all jobs.

    Attributes:
        jobs: Jobs by id.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.jobs = {}

    def job(self, job_id):
        """Return a job; create it if needed."""
        return self.jobs.setdefault(job_id, PromisedJob())

    def begin(self, job_id, instance):
        """Record a new attempt, and return it."""
        attempt = Attempt(instance=instance, sent_s=self.clock.seconds())
        self.job(job_id).attempts.append(attempt)
        return attempt

    def answer(self, attempt, outcome):
        """Record the answer to an attempt."""
        attempt.answered_s = self.clock.seconds()
        attempt.outcome = outcome

    def record_start(self, task):
        """Record the start of a task."""
        job = self.job(task.partition('.')[0])
        job.starts.append((self.clock.seconds(), task))

    def refused_starts(self):
        """Describe the refused jobs of which a task has started."""
        return [
            f'refused job {job_id} started: {job}'
            for job_id, job in self.jobs.items()
            if job.starts and job.is_refused()
        ]

    def false_answers(self):
        """Describe the jobs of which a refused attempt had started a task."""
        return [
            f'job {job_id} was refused after a start: {job}'
            for job_id, job in self.jobs.items()
            if job.has_false_answer()
        ]

    def forgotten_starts(self):
        """Describe the jobs that were refused after an earlier attempt ran."""
        return [
            f'job {job_id} was refused after an earlier attempt: {job}'
            for job_id, job in self.jobs.items()
            if job.has_forgotten_start()
        ]

    def late_starts(self):
        """Describe the jobs that started after their last refusal."""
        return [
            f'job {job_id} started after its refusal: {job}'
            for job_id, job in self.jobs.items()
            if job.is_started_late()
        ]
