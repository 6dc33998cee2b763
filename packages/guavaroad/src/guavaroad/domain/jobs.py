"""A submitted job, its tasks and what became of each."""

import dataclasses
import enum

import msgspec

from guavaroad.domain import codes, names


class Urgency(enum.Enum):
    """Urgency class of a job, most urgent first."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    LOW = 'low'


class TaskState(enum.Enum):
    """Life of one task."""

    QUEUED = 'queued'
    STARTED = 'started'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    LOST = 'lost'
    DROPPED = 'dropped'


_RAN_BY_STATE = (
    (TaskState.QUEUED, codes.Ran.NO),
    (TaskState.STARTED, codes.Ran.MAYBE),
    (TaskState.SUCCEEDED, codes.Ran.YES),
    (TaskState.FAILED, codes.Ran.YES),
    (TaskState.LOST, codes.Ran.MAYBE),
    (TaskState.DROPPED, codes.Ran.NO),
)


def ran_in_state(state: TaskState) -> codes.Ran:
    """Return whether a task in that state ran.

    Args:
        state: State of a task.

    Returns:
        What a caller may rely on.
    """
    return dict(_RAN_BY_STATE)[state]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskSpec:
    """One task as the client sent it.

    Attributes:
        payload: Encoded JSON for the upstream.
        declared_ms: Run time the client expects, milliseconds; 0 if unsaid.
    """

    payload: msgspec.Raw
    declared_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """One submission as an owner takes it.

    Attributes:
        submission_id: Id that names the owner.
        team: Team that pays for the slots.
        job: Name of the job in the configuration.
        urgency: Urgency class from the configuration.
        pool: Upstream pool from the configuration.
        tasks: Tasks in the order of the answers.
        deadline_s: Monotonic time after which nothing starts.
        digest: Hash of the body, to tell a repeat from a reuse of the id.
    """

    submission_id: names.SubmissionId
    team: names.TeamName
    job: names.JobName
    urgency: Urgency
    pool: names.PoolName
    tasks: tuple[TaskSpec, ...]
    deadline_s: float
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskReport:
    """What became of one task, for a failed job.

    Attributes:
        index: Position in the submission.
        state: Last known state.
        ran: Whether it ran.
        detail: Reason in one sentence, may be empty.
    """

    index: names.TaskIndex
    state: TaskState
    ran: codes.Ran
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobCompleted:
    """Every task succeeded.

    Attributes:
        answers: Encoded JSON answers, in the order of the tasks.
    """

    answers: tuple[msgspec.Raw, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobEnded:
    """The job ended without a whole answer.

    Attributes:
        code: Why.
        detail: Reason in one sentence.
        tasks: What became of each task; empty where none exists.
        retry_after_s: Seconds a client should wait; 0 if there is no hint.
    """

    code: codes.ResultCode
    detail: str = ''
    tasks: tuple[TaskReport, ...] = ()
    retry_after_s: float = 0


JobOutcome = JobCompleted | JobEnded
