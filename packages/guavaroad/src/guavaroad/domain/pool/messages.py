"""Messages about jobs between their owners and the allocator."""

import msgspec

from guavaroad.domain.pool import constraints, values


class DeclaredTask(msgspec.Struct, frozen=True, array_like=True):
    """State of a task as tracked by its owner.

    Attributes:
        name: Name of the task on workers.
        cpu: CPU that it needs, in thousandths of a core.
        memory_mb: Memory that it needs, in MB.
        gpu: Number of accelerators that it needs.
        done: Whether a run has succeeded.
        run: Run number of the last start that the owner was notified of; 0 for
            none.
        worker: Worker of that start; None if there is none or it has ended.
        failures: Number of failed runs.
        step: Step of the job that the task belongs to.
        estimate_ms: Estimated run time, in milliseconds.
        constraint: Placement constraint.
        losses: Number of workers that were lost while they ran it.
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
    losses: int = 0

    def has_started(self) -> bool:
        """Return whether a run is known, also by its end alone."""
        return bool(self.run or self.done or self.failures)


class Declare(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Ask for the tasks of a job to be placed: a new job, or after a takeover.

    Attributes:
        job: Id of the job.
        pool: Pool whose workers may run it.
        urgency: Urgency; 0 is the most urgent.
        max_attempts: Number of failed runs of one task that fails the job.
        payload: Payload that is passed to every task.
        estimate_ms: Estimated run time of its longest chain of tasks, in
            milliseconds.
        age_ms: Time since the client submitted it, in milliseconds.
        objective_ms: Longest wait after its arrival that meets the latency
            objective, in milliseconds.
        client_timeout_ms: Timeout of the client after its arrival, in
            milliseconds.
        tasks: Its tasks.
        unconfirmed: Whether another allocator may have started tasks of the job
            without the owner's knowledge.
        after: For each step, the steps that must be done before it.
        redeclared: Whether the job was declared on an earlier link.
        owner_has_payload: Whether the payload is left out, as the owner sends
            the start orders.
        attempt: Attempt that is declared; 0 if sent by an older build.
        starts_known: Whether the tasks show every start of this attempt that
            may have been sent, also by other allocators.
        contact_age_ms: Time since the owner last followed another allocator or
            answered a heartbeat of it, in milliseconds; 0 if unknown.
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
    redeclared: bool = False
    owner_has_payload: bool = False
    attempt: values.AttemptNumber = values.ANY_ATTEMPT
    starts_known: bool = False
    contact_age_ms: int = 0

    def may_hide_starts(self) -> bool:
        """Return whether starts may have been sent that it does not show."""
        return self.unconfirmed and not self.starts_known


class Withdraw(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The owner withdraws a job.

    Attributes:
        job: Id of the job.
        attempt: Attempt that it withdraws; 0 if sent by an older build.
    """

    job: values.JobId
    attempt: values.AttemptNumber = values.ANY_ATTEMPT


class Begun(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Tasks of a job are about to be started.

    Attributes:
        job: Id of the job.
        starts: Index of the task, run number and worker of each start.
        attempt: Attempt that it is about; 0 if sent by an older build.
        losses: Index of each task of which suspected losses of workers were
            cleared, with the number that is left.
    """

    job: values.JobId
    starts: tuple[tuple[int, int, values.WorkerId], ...]
    attempt: values.AttemptNumber = values.ANY_ATTEMPT
    losses: tuple[tuple[int, int], ...] = ()


class Ended(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A run has ended.

    Attributes:
        job: Id of the job.
        index: Index of the task in the job.
        kind: How the run ended.
        attempt: Attempt that it is about; 0 if sent by an older build.
        losses: Number of workers that were lost while they ran the task.
    """

    job: values.JobId
    index: int
    kind: values.EndKind
    attempt: values.AttemptNumber = values.ANY_ATTEMPT
    losses: int = 0


class GivenUp(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The allocator has given up an incomplete job.

    Attributes:
        job: Id of the job.
        reason: Why it was given up.
        may_have_started: Whether a task of it may have started.
        retry_after_ms: Retry hint for the client, in milliseconds; 0 for none.
        detail: Inputs of the decision, for the log.
        attempt: Attempt that it is about; 0 if sent by an older build.
    """

    job: values.JobId
    reason: values.GiveUpReason
    may_have_started: bool
    retry_after_ms: int = 0
    detail: str = ''
    attempt: values.AttemptNumber = values.ANY_ATTEMPT


ToOwner = Begun | Ended | GivenUp
