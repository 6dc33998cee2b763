"""Submitted jobs, their tasks and the outcomes."""

import dataclasses
import enum

import msgspec

from guavaroad.domain import codes, names


class Urgency(enum.Enum):
    """Urgency class of a job, in descending order."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    LOW = 'low'


class TaskState(enum.Enum):
    """State of one task."""

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
    """Return whether a task in the given state has run."""
    return dict(_RAN_BY_STATE)[state]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskSpec:
    """One task of a submission, as sent by the client.

    Attributes:
        payload: JSON-encoded input for the upstream.
        declared_ms: Expected run time in milliseconds; 0 if not declared.
    """

    payload: msgspec.Raw
    declared_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """One submission, as received by its owner.

    Attributes:
        submission_id: Submission id, which contains the owner.
        team: Team that the slots are accounted to.
        job: Name of the job in the configuration.
        urgency: Urgency class from the configuration.
        pool: Upstream pool from the configuration.
        tasks: Tasks; the results are returned in the same order.
        deadline_s: Monotonic time in seconds after which no task starts.
        digest: Hash of the body, which distinguishes a repeated request from
            a reused id.
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
    """State of one task, reported with an unsuccessful job.

    Attributes:
        index: Position in the submission.
        state: Last known state.
        ran: Whether the task has run.
        detail: Reason, one sentence or empty.
    """

    index: names.TaskIndex
    state: TaskState
    ran: codes.Ran
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobCompleted:
    """Every task succeeded.

    Attributes:
        answers: JSON-encoded results, in the order of the tasks.
    """

    answers: tuple[msgspec.Raw, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobNotCompleted:
    """The job ended before every task succeeded.

    Attributes:
        code: Result code.
        detail: Reason, one sentence.
        tasks: Report on each task; empty if no tasks were created.
        retry_after_s: Seconds the client should wait before a retry; 0 for
            no recommendation.
    """

    code: codes.ResultCode
    detail: str = ''
    tasks: tuple[TaskReport, ...] = ()
    retry_after_s: float = 0


JobOutcome = JobCompleted | JobNotCompleted
