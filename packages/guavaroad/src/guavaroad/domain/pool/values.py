"""Ids, amounts and states of the worker pool."""

import dataclasses
import enum
from typing import Final, NewType

CpuMillis = NewType('CpuMillis', int)
Token = NewType('Token', int)
InstanceName = NewType('InstanceName', str)
JobId = NewType('JobId', str)
RunNumber = NewType('RunNumber', int)
TaskName = NewType('TaskName', str)
WorkerId = NewType('WorkerId', str)

CPU_MILLIS_PER_CORE: Final = 1000
FIRST_RUN: Final = RunNumber(1)

# Submission of a job at one instance; unique within the process.
AttemptNumber = NewType('AttemptNumber', int)
# In messages of builds that number no attempts.
ANY_ATTEMPT: Final = AttemptNumber(0)

# In calls that any incarnation of a worker may carry out, in place of the time
# at which the incarnation started.
ANY_INCARNATION: Final = 0

# In messages of builds that name no term.
ANY_TERM: Final = Token(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Amount:
    """Resources that a task needs or that a worker has.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Memory, in MB.
        gpu: Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


class RunState(enum.Enum):
    """State of a run on a worker, as tracked by the allocator."""

    ORDERED = 'ordered'
    RUNNING = 'running'
    UNANSWERED = 'unanswered'
    STOPPING = 'stopping'


class GiveUpReason(enum.Enum):
    """Why the allocator gave up a job."""

    OVERLOADED = 'overloaded'
    TOO_LATE = 'too_late'
    ATTEMPTS_USED = 'attempts_used'
    WITHDRAWN = 'withdrawn'
    TAKEN_OVER = 'taken_over'
    NO_WORKER_FITS = 'no_worker_fits'


class Size(enum.Enum):
    """Size class of a job within its kind."""

    SMALL = 'small'
    MIDDLE = 'middle'
    LARGE = 'large'
