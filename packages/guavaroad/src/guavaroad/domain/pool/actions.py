"""Actions that the allocator asks the services to carry out."""

import dataclasses

from guavaroad.domain.pool import messages, values


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Order a worker to start a task.

    Attributes:
        worker_id: Worker that receives the order.
        task: Name of the task.
        number: Run number of this start.
        payload: Payload that is passed to the task.
        until_ms: End of the lease, on the worker's clock, in milliseconds.
        started_ms: Start of the incarnation of the worker that it is meant for,
            in milliseconds since 1970.
        job: Id of the job.
        index: Index of the task in the job.
        owner: Owner of the job.
        attempt: Attempt at the owner.
        owner_has_payload: Whether only the owner has the payload, and so sends
            the order.
    """

    worker_id: values.WorkerId
    task: values.TaskName
    number: values.RunNumber
    payload: str
    until_ms: int
    started_ms: int
    job: values.JobId
    index: int
    owner: values.InstanceName
    attempt: values.AttemptNumber
    owner_has_payload: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Order a worker to stop a run, or never to start it.

    Attributes:
        worker_id: Worker that receives the order.
        task: Name of the task.
        number: Run number to stop.
    """

    worker_id: values.WorkerId
    task: values.TaskName
    number: values.RunNumber


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotifyOwner:
    """Send a message to the owner of a job.

    Attributes:
        owner: Instance that receives the message.
        message: The message.
    """

    owner: values.InstanceName
    message: messages.ToOwner


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerAdded:
    """Start the status polls of a worker.

    Attributes:
        worker_id: The worker.
    """

    worker_id: values.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerMoved:
    """Make further calls to a worker at the address of its present entry.

    Attributes:
        worker_id: The worker.
    """

    worker_id: values.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRemoved:
    """End the status polls of a worker.

    Attributes:
        worker_id: The worker.
    """

    worker_id: values.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PollNow:
    """Send a status poll in addition to the one that is pending.

    Attributes:
        worker_id: The worker.
    """

    worker_id: values.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogEvent:
    """Write an event to the decision log.

    Attributes:
        event: Name of the event, in snake case.
        fields: Inputs and outcome of the decision.
    """

    event: str
    fields: dict[str, object]


Action = (
    StartRun
    | StopRun
    | NotifyOwner
    | WorkerAdded
    | WorkerMoved
    | WorkerRemoved
    | PollNow
    | LogEvent
)
