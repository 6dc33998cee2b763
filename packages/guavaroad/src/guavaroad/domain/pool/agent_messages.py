"""Messages about calls to workers, which worker agents make.

Every instance is an agent: it holds the connections to a part of the workers,
and makes the calls that the allocator decides.  A start order is sent by the
owner of the job, which has the payload; so no payload passes the allocator.

The tags are short because these messages are by far the most frequent ones.
"""

from typing import Final

import msgspec

from guavaroad.domain.pool import values

# Version of these messages. An instance that announces none is no agent.
AGENT_VERSION: Final = 1

# Number that an allocator has given to a call; unique within its term.
CallNumber = int


class AssignWorker(msgspec.Struct, frozen=True, array_like=True, tag='aw'):
    """The allocator assigns a worker to an agent.

    Attributes:
        number: Number of the worker within the term of the allocator.
        worker_id: Id of the worker.
        address: Address at which it accepts orders, `host:port`.
    """

    number: int
    worker_id: values.WorkerId
    address: str


class ReleaseWorker(msgspec.Struct, frozen=True, array_like=True, tag='rw'):
    """The agent makes no further calls to a worker.

    Attributes:
        number: Number of the worker.
    """

    number: int


class PollWorker(msgspec.Struct, frozen=True, array_like=True, tag='pw'):
    """Poll the status of an assigned worker; see `pool.StatusPoll`.

    Attributes:
        call: Number of the call.
        number: Number of the worker.
        last_end_position: Position of the last ended run that was recorded.
        until_ms: End of the lease in milliseconds, on the worker's clock;
            None if it is not extended.
        wait_ms: Time for which the worker may wait for a run to end, in
            milliseconds.
        started_ms: Start of the incarnation that it is meant for; 0 for any.
    """

    call: CallNumber
    number: int
    last_end_position: int
    until_ms: int | None
    wait_ms: int
    started_ms: int = values.ANY_INCARNATION


class StopTask(msgspec.Struct, frozen=True, array_like=True, tag='st'):
    """Order an assigned worker to stop a run; see `pool.StopOrder`.

    Attributes:
        call: Number of the call.
        number: Number of the worker.
        task: Name of the task.
        run: Run number.
    """

    call: CallNumber
    number: int
    task: values.TaskName
    run: values.RunNumber


class Launch(msgspec.Struct, frozen=True, array_like=True):
    """A start that the owner of a job has to order.

    Attributes:
        call: Number of the call.
        index: Index of the task in the job.
        run: Run number.
        worker_id: Worker that receives the order.
        agent: Agent of that worker.
        until_ms: End of the lease in milliseconds, on the worker's clock.
        started_ms: Start of the incarnation that it is meant for; 0 for any.
    """

    call: CallNumber
    index: int
    run: values.RunNumber
    worker_id: values.WorkerId
    agent: values.InstanceName
    until_ms: int
    started_ms: int = values.ANY_INCARNATION


class LaunchMode(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The allocator changes who sends the start orders of new jobs.

    Attributes:
        owners_launch: Whether the owners of jobs send them.
    """

    owners_launch: bool


class LaunchRuns(msgspec.Struct, frozen=True, array_like=True, tag='lr'):
    """The allocator lets the owner of a job order starts.

    Attributes:
        job: Id of the job.
        launches: The starts.
        attempt: Attempt that it is about; 0 if sent by an older build.
    """

    job: values.JobId
    launches: tuple[Launch, ...]
    attempt: values.AttemptNumber = values.ANY_ATTEMPT


class NotLaunched(msgspec.Struct, frozen=True, array_like=True, tag='nl'):
    """Starts that the owner has certainly not sent to their agent.

    Attributes:
        calls: Numbers of the calls.
        is_job_open: Whether the owner still has the job; if not, another
            attempt has no effect.
        token: Fencing token of the term that the numbers belong to; 0 if sent
            by an older build.
    """

    calls: tuple[CallNumber, ...]
    is_job_open: bool
    token: values.Token = values.ANY_TERM


class Start(msgspec.Struct, frozen=True, array_like=True):
    """A start order for one worker of an agent.

    Attributes:
        call: Number of the call.
        worker_id: Worker that receives the order.
        task: Name of the task.
        run: Run number.
        until_ms: End of the lease in milliseconds, on the worker's clock.
        started_ms: Start of the incarnation that it is meant for; 0 for any.
    """

    call: CallNumber
    worker_id: values.WorkerId
    task: values.TaskName
    run: values.RunNumber
    until_ms: int
    started_ms: int = values.ANY_INCARNATION


class StartRuns(msgspec.Struct, frozen=True, array_like=True, tag='sr'):
    """An owner asks an agent to order starts.

    Attributes:
        sequence: Number of this message on its link.
        token: Fencing token of the allocator that decided the starts.
        payload: Payload of every task.
        starts: The starts.
    """

    sequence: int
    token: values.Token
    payload: str
    starts: tuple[Start, ...]


class StartsReceived(msgspec.Struct, frozen=True, array_like=True, tag='sd'):
    """An agent confirms the receipt of a `StartRuns` message.

    Attributes:
        sequence: Number of that message.
        rejected: Calls that the agent does not make: it follows another
            allocator, or the worker is not assigned to it.
    """

    sequence: int
    rejected: tuple[CallNumber, ...] = ()


class CallAnswered(msgspec.Struct, frozen=True, array_like=True, tag='ca'):
    """A worker's answer to an order, or its refusal of a status poll.

    Attributes:
        call: Number of the call.
        refusal: Value of `outcomes.Refusal`; empty if it was accepted.
        clock_ms: Worker's clock, in milliseconds; negative if not sent.
    """

    call: CallNumber
    refusal: str
    clock_ms: int


class CallUnanswered(msgspec.Struct, frozen=True, array_like=True, tag='cu'):
    """A call without an answer; the worker may carry it out now or later.

    Attributes:
        call: Number of the call.
        detail: What failed.
    """

    call: CallNumber
    detail: str


class WorkerReport(msgspec.Struct, frozen=True, array_like=True, tag='wr'):
    """A worker's run report; see `outcomes.RunReport`.

    A run that the agent has started in this term is denoted by the number of
    that call, any other run by task and run number.

    Attributes:
        call: Number of the call.
        clock_ms: Worker's clock, in milliseconds.
        started_ms: Start of the worker's incarnation, in milliseconds since
            1970; 0 if not sent.
        running: Start call and progress in percent of each run.
        ended: Position, start call and kind of each end.
        other_running: Task, run number and progress in percent of each run.
        other_ended: Position, task, run number and kind of each end.
    """

    call: CallNumber
    clock_ms: int
    started_ms: int
    running: tuple[tuple[CallNumber, int], ...]
    ended: tuple[tuple[int, CallNumber, values.EndKind], ...]
    other_running: tuple[
        tuple[values.TaskName, values.RunNumber, int], ...
    ] = ()
    other_ended: tuple[
        tuple[int, values.TaskName, values.RunNumber, values.EndKind], ...
    ] = ()


ToAgent = AssignWorker | ReleaseWorker | PollWorker | StopTask
FromAgent = CallAnswered | CallUnanswered | WorkerReport
