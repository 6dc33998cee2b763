"""Jobs that this instance owns.

The owner alone decides the answer to the client. It tracks which tasks are done
and which starts it was notified of, and so whether "not run" would be true.
"""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

from guavaroad.domain import names, units
from guavaroad.domain.pool import (
    agent_messages,
    constraints,
    messages,
    values,
)

# Upper bound of a run's time relative to its estimate: estimates are up to
# 40 % too low, and workers up to 30 % slower.
MAX_RUN_TIME_FACTOR: Final = 1.8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskRequest:
    """One task of a submission.

    Attributes:
        name: Name of the task on workers.
        need: Resources that it needs.
        step: Step of the job that it belongs to.
        estimate_ms: Estimated run time, in milliseconds; 0 to use that of the
            job.
        constraint: Placement constraint.
    """

    name: values.TaskName
    need: values.Amount
    step: int = 0
    estimate_ms: int = 0
    constraint: constraints.Constraint = constraints.ANYWHERE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """A validated submission of a client.

    Attributes:
        job_id: Id of the job.
        pool: Pool whose workers may run it.
        urgency: Urgency; 0 is the most urgent.
        max_attempts: Number of failed runs of one task that fails the job.
        payload: Payload that is passed to every task.
        estimate_ms: Estimated run time of its longest chain of tasks, in
            milliseconds.
        objective_ms: Longest wait that meets the latency objective, in
            milliseconds.
        client_timeout_ms: Timeout of the client, in milliseconds.
        tasks: Its tasks.
        config_version: Version of the configuration that it was admitted under;
            -1 if not recorded.
        after: For each step, the steps that must be done before it.
    """

    job_id: values.JobId
    pool: names.PoolName
    urgency: int
    max_attempts: int
    payload: str
    estimate_ms: int
    objective_ms: int
    client_timeout_ms: int
    tasks: tuple[TaskRequest, ...]
    config_version: int = -1
    after: tuple[tuple[int, ...], ...] = ((),)

    def likely_s(self) -> float:
        """Return within which time the job is likely to end, in seconds."""
        run_ms = self.estimate_ms * MAX_RUN_TIME_FACTOR
        return (run_ms + self.objective_ms) / units.MS_PER_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """All tasks succeeded."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobFailed:
    """A task has used up its attempts."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """No task of the job has started or will start.

    Attributes:
        reason: Why the job was not run.
        retry_after_ms: Retry hint for the client, in milliseconds; 0 for none.
    """

    reason: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """Tasks may have run, and the job did not complete in time.

    Attributes:
        reason: Why the outcome is not known.
    """

    reason: str


JobOutcome = Completed | JobFailed | NotRun | OutcomeUnknown


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class OpenTask:
    """State of a task as tracked by its owner.

    Attributes:
        request: The task as submitted.
        done: Whether a run has succeeded.
        run: Run number of the last start that the owner was notified of; 0 for
            none.
        worker: Worker of that start until the run ends.
        failures: Number of failed runs.
        losses: Number of workers that were lost while they ran it.
    """

    request: TaskRequest
    done: bool = False
    run: int = 0
    worker: values.WorkerId | None = None
    failures: int = 0
    losses: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class OpenJob:
    """A job whose client waits for the outcome.

    Attributes:
        request: The job as submitted.
        attempt: Number of this submission at this instance.
        arrived_s: Time of arrival, in seconds.
        on_outcome: Called once with the outcome.
        tasks: Its tasks.
        open_tasks: Number of tasks that are not done.
        declared: Whether it was declared to the current allocator.
        was_declared: Whether it was declared to any allocator.
        unconfirmed: Whether a lost allocator may have started tasks of it
            without the owner's knowledge.
        may_have_run_before: Whether an earlier attempt at this instance may
            have run.
        starts_known: Whether this instance knows of every start of this attempt
            that may have been sent: it gave no allocator the payload, without
            which nothing starts.
        history: Events so far, for the log of a failure.
        timers: Timers to cancel when the job ends.
    """

    request: JobRequest
    attempt: values.AttemptNumber
    arrived_s: float
    on_outcome: Callable[[JobOutcome], None]
    tasks: tuple[OpenTask, ...] = ()
    open_tasks: int = 0
    declared: bool = False
    was_declared: bool = False
    unconfirmed: bool = False
    may_have_run_before: bool = False
    starts_known: bool = True
    history: list[str] = dataclasses.field(default_factory=list)
    timers: list[Any] = dataclasses.field(default_factory=list)

    def may_have_started(self) -> bool:
        """Return whether a task may have started."""
        may_hide = self.unconfirmed and not self.starts_known
        is_unknown = may_hide or self.may_have_run_before
        return is_unknown or any(map(has_started, self.tasks))

    def is_unstarted(self) -> bool:
        """Return whether no task has started, whatever an allocator decided.

        A start that is decided from now on is rejected here, once the job is
        answered.
        """
        is_certain = self.starts_known or not self.was_declared
        return is_certain and not self.may_have_started()

    def age_ms(self, now_s: float) -> int:
        """Return the time since the arrival of the job, in milliseconds."""
        return units.to_ms(now_s - self.arrived_s)

    def record_event(
        self, event: str, age_ms: int, detail: object = ''
    ) -> None:
        """Add an event to the history of the job."""
        self.history.append(f'{event} {detail} at {age_ms} ms')

    def declaration(
        self, now_s: float, *, with_payload: bool, contact_age_ms: int
    ) -> messages.Declare:
        """Return the message that declares the job to the allocator.

        Args:
            now_s: Current time, in seconds.
            with_payload: Whether the allocator sends the start orders.
            contact_age_ms: Time since the last contact with another allocator,
                in milliseconds; 0 if unknown.
        """
        request = self.request
        self.starts_known = self.starts_known and not with_payload
        return messages.Declare(
            job=request.job_id,
            pool=request.pool,
            urgency=request.urgency,
            max_attempts=request.max_attempts,
            payload=request.payload if with_payload else '',
            estimate_ms=request.estimate_ms,
            age_ms=self.age_ms(now_s),
            objective_ms=request.objective_ms,
            client_timeout_ms=request.client_timeout_ms,
            tasks=tuple(declared_task(task) for task in self.tasks),
            unconfirmed=self.unconfirmed,
            after=request.after,
            redeclared=self.was_declared,
            owner_has_payload=not with_payload,
            attempt=self.attempt,
            starts_known=self.starts_known,
            contact_age_ms=contact_age_ms,
        )

    def withdrawal(self) -> messages.Withdraw:
        """Return the message that withdraws the job."""
        return messages.Withdraw(job=self.request.job_id, attempt=self.attempt)

    def record_starts(self, message: messages.Begun) -> None:
        """Record starts of tasks."""
        for index, number, worker_id in message.starts:
            task = self.tasks[index]
            task.run = number
            task.worker = worker_id
        for index, left in message.losses:
            self.tasks[index].losses = left

    def start_of(self, launch: agent_messages.Launch) -> agent_messages.Start:
        """Return the order for a start that the allocator has decided."""
        return agent_messages.Start(
            call=launch.call,
            worker_id=launch.worker_id,
            task=self.tasks[launch.index].request.name,
            run=launch.run,
            until_ms=launch.until_ms,
            started_ms=launch.started_ms,
        )

    def record_end(self, message: messages.Ended) -> bool:
        """Record the end of a run; return whether the job is complete."""
        task = self.tasks[message.index]
        task.worker = None
        task.losses = max(task.losses, message.losses)
        match message.kind:
            case values.EndKind.DONE if not task.done:
                task.done = True
                self.open_tasks -= 1
            case values.EndKind.FAILED:
                task.failures += 1
        return not self.open_tasks

    def abandoned_outcome(self, reason: str) -> JobOutcome:
        """Return the outcome of a job whose end is not awaited any longer."""
        if self.is_unstarted():
            return NotRun(reason=reason)
        return OutcomeUnknown(reason=reason)

    def given_up_outcome(self, message: messages.GivenUp) -> JobOutcome:
        """Return the outcome of a job that the allocator has given up."""
        reason = message.reason.value
        if message.reason is values.GiveUpReason.ATTEMPTS_USED:
            return JobFailed()
        if message.may_have_started or self.may_have_started():
            return OutcomeUnknown(reason=reason)
        return NotRun(reason=reason, retry_after_ms=message.retry_after_ms)


def has_started(task: OpenTask) -> bool:
    """Return whether a run of a task is known, also by its end alone."""
    return bool(task.run or task.done or task.failures)


def declared_task(task: OpenTask) -> messages.DeclaredTask:
    """Return a task in the form in which it is declared."""
    need = task.request.need
    return messages.DeclaredTask(
        name=task.request.name,
        cpu=need.cpu,
        memory_mb=need.memory_mb,
        gpu=need.gpu,
        done=task.done,
        run=task.run,
        worker=task.worker,
        failures=task.failures,
        step=task.request.step,
        estimate_ms=task.request.estimate_ms,
        constraint=task.request.constraint,
        losses=task.losses,
    )


def open_job(
    request: JobRequest,
    *,
    attempt: values.AttemptNumber,
    now_s: float,
    on_outcome: Callable[[JobOutcome], None],
) -> OpenJob:
    """Return a new open job.

    Args:
        request: The validated submission.
        attempt: Number of this submission.
        now_s: Current time, in seconds.
        on_outcome: Called once with the outcome.
    """
    tasks = tuple(OpenTask(request=task) for task in request.tasks)
    return OpenJob(
        request=request,
        attempt=attempt,
        arrived_s=now_s,
        on_outcome=on_outcome,
        tasks=tasks,
        open_tasks=len(tasks),
    )
