"""Jobs that this instance answers for.

The owner is the only authority over the answer: it knows which tasks are done,
which starts it was told of, and so whether "not run" would be true.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

from guavaroad.domain import names, units
from guavaroad.domain.pool import constraints, messages, values


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskRequest:
    """One task of a submission.

    Attributes:
        name: Name on workers.
        need: Room that it takes.
        step: Step of the job that it belongs to.
        estimate_ms: Its estimated run time; 0 for that of the job.
        constraint: What it asks of its worker.
    """

    name: values.TaskName
    need: values.Amount
    step: int = 0
    estimate_ms: int = 0
    constraint: constraints.Constraint = constraints.ANYWHERE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """A submission of a client, checked.

    Attributes:
        job_id: Its id.
        pool: Workers that may run it.
        urgency: 0 goes first.
        max_attempts: Failed runs of one task that fail the job.
        payload: What every task is given.
        estimate_ms: Estimated run time of its longest chain of tasks.
        objective_ms: Wait that still meets its latency objective.
        client_timeout_ms: Time that its client waits.
        tasks: Its tasks.
        config_version: Version of the configuration that it was taken by.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """Every task has ended well."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobFailed:
    """A task has failed as often as it may."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """Nothing of the job has started, or will.

    Attributes:
        reason: Why.
        retry_after_ms: When to come back; 0 if not known.
    """

    reason: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """Tasks may have run; the job did not complete in time.

    Attributes:
        reason: Why.
    """

    reason: str


JobOutcome = Completed | JobFailed | NotRun | OutcomeUnknown


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class OpenTask:
    """What the owner knows of a task.

    Attributes:
        request: The task.
        done: Whether it has ended well.
        run: Number of the last start that it was told of.
        worker: Where that was, until it ends.
        failures: Failed runs.
    """

    request: TaskRequest
    done: bool = False
    run: int = 0
    worker: values.WorkerId | None = None
    failures: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class OpenJob:
    """A job whose client waits.

    Attributes:
        request: The job.
        arrived_s: When it came.
        on_outcome: Called once with the outcome.
        tasks: Its tasks.
        open_tasks: Tasks that are not done.
        declared: Whether the present allocator was told of it.
        was_declared: Whether any allocator was told of it.
        unconfirmed: Whether a lost allocator may have started tasks of it.
        history: Decisions so far, for the log of a failure.
        timers: Pending calls to cancel when it ends.
    """

    request: JobRequest
    arrived_s: float
    on_outcome: Callable[[JobOutcome], None]
    tasks: tuple[OpenTask, ...] = ()
    open_tasks: int = 0
    declared: bool = False
    was_declared: bool = False
    unconfirmed: bool = False
    history: list[str] = dataclasses.field(default_factory=list)
    timers: list[Any] = dataclasses.field(default_factory=list)

    def may_have_started(self) -> bool:
        """Return whether a task may have started."""
        return self.unconfirmed or any(task.run for task in self.tasks)

    def age_ms(self, now_s: float) -> int:
        """Return how long it has been here, in milliseconds."""
        return units.to_ms(now_s - self.arrived_s)

    def record_event(
        self, event: str, age_ms: int, detail: object = ''
    ) -> None:
        """Add a decision to its history."""
        self.history.append(f'{event} {detail} at {age_ms} ms')

    def declaration(self, now_s: float) -> messages.Declare:
        """Return what the allocator is told of it."""
        request = self.request
        return messages.Declare(
            job=request.job_id,
            pool=request.pool,
            urgency=request.urgency,
            max_attempts=request.max_attempts,
            payload=request.payload,
            estimate_ms=request.estimate_ms,
            age_ms=self.age_ms(now_s),
            objective_ms=request.objective_ms,
            client_timeout_ms=request.client_timeout_ms,
            tasks=tuple(declared_task(task) for task in self.tasks),
            unconfirmed=self.unconfirmed,
            after=request.after,
            again=self.was_declared,
        )

    def record_starts(self, message: messages.Begun) -> None:
        """Note starts that go out."""
        for index, number, worker_id in message.starts:
            task = self.tasks[index]
            task.run = number
            task.worker = worker_id

    def record_end(self, message: messages.Ended) -> bool:
        """Note the end of a run; return whether the job is complete."""
        task = self.tasks[message.index]
        task.worker = None
        match message.kind:
            case values.EndKind.DONE if not task.done:
                task.done = True
                self.open_tasks -= 1
            case values.EndKind.FAILED:
                task.failures += 1
        return not self.open_tasks

    def abandoned_outcome(self, reason: str) -> JobOutcome:
        """Return the outcome of a job that nobody can say more of."""
        if self.was_declared or self.may_have_started():
            return OutcomeUnknown(reason=reason)
        return NotRun(reason=reason)

    def given_up_outcome(self, message: messages.GivenUp) -> JobOutcome:
        """Return the outcome of a job that the allocator let go of."""
        reason = message.reason.value
        if message.reason is values.Verdict.ATTEMPTS_USED:
            return JobFailed()
        if message.begun or self.may_have_started():
            return OutcomeUnknown(reason=reason)
        return NotRun(reason=reason, retry_after_ms=message.retry_after_ms)


def declared_task(task: OpenTask) -> messages.DeclaredTask:
    """Return a task as the allocator is told of it."""
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
    )


def open_job(
    request: JobRequest,
    *,
    now_s: float,
    on_outcome: Callable[[JobOutcome], None],
) -> OpenJob:
    """Return a new open job.

    Args:
        request: The checked submission.
        now_s: Time.
        on_outcome: Called once with its outcome.
    """
    tasks = tuple(OpenTask(request=one) for one in request.tasks)
    return OpenJob(
        request=request,
        arrived_s=now_s,
        on_outcome=on_outcome,
        tasks=tasks,
        open_tasks=len(tasks),
    )
