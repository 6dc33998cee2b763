"""Messages about jobs, between their owners and the allocator."""

import msgspec

from guavaroad.domain.pool import constraints, values


class DeclaredTask(msgspec.Struct, frozen=True, array_like=True):
    """A task as its owner knows it.

    Attributes:
        name: Name on workers.
        cpu: Thousandths of a core that it needs.
        memory_mb: Memory that it needs.
        gpu: Accelerators that it needs.
        done: Whether it has ended well.
        run: Number of the last start that the owner was told of; 0 for none.
        worker: Where that was; empty if nowhere, or if it has ended.
        failures: Failed runs.
        step: Step of the job that it belongs to.
        estimate_ms: Its estimated run time.
        constraint: What it asks of its worker.
    """

    name: values.TaskName
    cpu: int
    memory_mb: int = 0
    gpu: int = 0
    done: bool = False
    run: int = 0
    worker: values.WorkerId | None = None
    failures: int = 0
    step: int = 0
    estimate_ms: int = 0
    constraint: constraints.Constraint = constraints.ANYWHERE


class Declare(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A job that wants its tasks placed, new or after a takeover.

    Attributes:
        job: Its id.
        pool: Workers that may run it.
        urgency: 0 goes first.
        max_attempts: Failed runs of one task that fail the job.
        payload: What every task is given.
        estimate_ms: Estimated run time of its longest chain of tasks.
        age_ms: Time since the client sent it.
        objective_ms: Time that it may wait and still meet its objective, from
            its arrival.
        client_timeout_ms: Time that its client waits, from its arrival.
        tasks: Its tasks.
        unconfirmed: Whether another allocator may have started tasks of it
            without a word.
        after: For each step, the steps that must be done before it.
        again: Whether it was declared on an earlier link.
    """

    job: values.JobId
    pool: str
    urgency: int
    max_attempts: int
    payload: str
    estimate_ms: int
    age_ms: int
    objective_ms: int
    client_timeout_ms: int
    tasks: tuple[DeclaredTask, ...]
    unconfirmed: bool = False
    after: tuple[tuple[int, ...], ...] = ((),)
    again: bool = False


class Withdraw(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The owner gives a job up.

    Attributes:
        job: Its id.
    """

    job: values.JobId


class Begun(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Starts of tasks of a job go out.

    Attributes:
        job: Its id.
        starts: Index of the task, number of the start and worker, for each.
    """

    job: values.JobId
    starts: tuple[tuple[int, int, values.WorkerId], ...]


class Ended(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A run has ended.

    Attributes:
        job: Job of the task.
        index: Position of the task.
        kind: How it ended.
    """

    job: values.JobId
    index: int
    kind: values.EndKind


class GivenUp(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The allocator has let go of a job that is not complete.

    Attributes:
        job: Its id.
        reason: Why.
        begun: Whether a task of it may have started.
        retry_after_ms: When work like it may find room; 0 if not known.
        detail: Inputs of the decision, for the log.
    """

    job: values.JobId
    reason: values.Verdict
    begun: bool
    retry_after_ms: int = 0
    detail: str = ''


ToOwner = Begun | Ended | GivenUp
