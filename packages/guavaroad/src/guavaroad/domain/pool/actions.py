"""What the allocator wants done."""

import dataclasses

from guavaroad.domain.pool import messages, values


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Order a worker to start a task.

    Attributes:
        worker_id: Which worker.
        task: Name of the task.
        number: Number of the start.
        payload: What the task is given.
        until_ms: Lease, on the worker's clock.
    """

    worker_id: values.WorkerId
    task: values.TaskName
    number: values.RunNumber
    payload: str
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Order a worker to stop a run, or never to start it.

    Attributes:
        worker_id: Which worker.
        task: Name of the task.
        number: Number of the start.
    """

    worker_id: values.WorkerId
    task: values.TaskName
    number: values.RunNumber


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotifyOwner:
    """Send a message to the owner of a job.

    Attributes:
        owner: Instance to tell.
        message: What to say.
    """

    owner: values.InstanceName
    message: messages.ToOwner


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerAdded:
    """A worker is to be looked at from now on.

    Attributes:
        worker_id: Which worker.
    """

    worker_id: values.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRemoved:
    """A worker is no longer to be looked at.

    Attributes:
        worker_id: Which worker.
    """

    worker_id: values.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PollNow:
    """Look at a worker beside the look that waits there.

    Attributes:
        worker_id: Which worker.
    """

    worker_id: values.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogEvent:
    """A decision for the log.

    Attributes:
        event: What was decided, in snake case.
        fields: The inputs and the outcome.
    """

    event: str
    fields: dict[str, object]


Action = (
    StartRun
    | StopRun
    | NotifyOwner
    | WorkerAdded
    | WorkerRemoved
    | PollNow
    | LogEvent
)
