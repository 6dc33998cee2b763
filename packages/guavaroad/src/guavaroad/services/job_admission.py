"""Admission of jobs to a dispatcher, by its queues and slots."""

import random
from collections.abc import Callable, Iterator

from guavaroad.domain import codes, jobs
from guavaroad.domain.configuration import document
from guavaroad.domain.scheduling import admission, job_queue, policy
from guavaroad.domain.slots import table
from guavaroad.domain.submissions import submission
from guavaroad.ports import timers
from guavaroad.services import health


class JobAdmission:
    """Admits or refuses jobs before they are queued; base of the dispatcher."""

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        slots: table.SlotTable,
        health_service: health.HealthService,
        bounds: admission.Bounds,
        rng: random.Random,
        configuration: Callable[[], document.Document | None],
    ) -> None:
        self.timers = timer_service
        self.slots = slots
        self.health = health_service
        self.configuration = configuration
        self.queue = job_queue.JobQueue()
        self.admission = admission.Admission(
            queue=self.queue, bounds=bounds, rng=rng
        )

    def configure(self) -> None:
        """Apply shares, weights and quotas of the configuration in force."""
        config = self.configuration()
        if config is not None and self.queue.rules.config is not config:
            self.queue.rules = policy.Policy(config=config)

    def refusal(self, task_count: int) -> codes.ResultCode | None:
        """Return why a job of that size can never be queued; none if it can."""
        if task_count > self.admission.bounds.tasks:
            return codes.ResultCode.OVERLOADED
        return None

    def refuse(self, request: jobs.JobRequest) -> jobs.JobNotCompleted | None:
        """Return the refusal of a checked job; none if it is admitted.

        Args:
            request: The job, of which no task has run.

        Returns:
            The refusal, "not run", with the time to wait before a retry.
        """
        self.configure()
        suspended = self.health.refusal(request.job)
        if suspended is not None:
            return suspended
        capacity = self.slots.pool(request.pool).capacity()
        return self.admission.refusal(request, capacity, self.timers.now())

    def expected_wait_s(self, request: jobs.JobRequest) -> float:
        """Return the wait expected before the last start of a job."""
        capacity = self.slots.pool(request.pool).capacity()
        return self.admission.expected_wait_s(request, capacity)

    def overflow_victims(self) -> Iterator[submission.Submission]:
        """Yield the jobs to end until the bounds hold.

        The caller must end each job before it asks for the next one.
        """
        victim = self.admission.overflow_victim()
        while victim is not None:
            yield victim
            victim = self.admission.overflow_victim()
