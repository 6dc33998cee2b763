"""Answers of workers to orders and status polls."""

import dataclasses
import enum

from guavaroad.domain.pool import values


class Refusal(enum.Enum):
    """Why a worker refused an order."""

    FENCED = 'fenced'
    STALE_RUN = 'stale_run'
    LEASE_OVER = 'lease_over'
    NO_ROOM = 'no_room'
    UNHEALTHY = 'unhealthy'
    OTHER_INCARNATION = 'other_life'
    MALFORMED = 'malformed'
    UNREACHED = 'unreached'
    NOT_SENT = 'not_sent'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The worker carried out the order.

    Attributes:
        clock_ms: Worker's clock, in milliseconds; negative if not sent.
    """

    clock_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The worker did not carry out the order.

    Attributes:
        reason: Why it refused.
        clock_ms: Worker's clock, in milliseconds; negative if not sent.
    """

    reason: Refusal
    clock_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer:
    """No answer arrived; the order may be carried out now or later.

    Attributes:
        detail: What failed.
        is_agent_lost: Whether the agent that made the call did not answer, so
            that nothing is known about the worker.
    """

    detail: str
    is_agent_lost: bool = False


OrderOutcome = Accepted | Refused | NoAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedRun:
    """A run in progress in a run report.

    Attributes:
        task: Name of the task.
        number: Run number.
        percent: Progress, in percent.
    """

    task: values.TaskName
    number: values.RunNumber
    percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedEnd:
    """An ended run in a run report.

    Attributes:
        position: Sequence number of the end within this incarnation of the
            worker.
        task: Name of the task.
        number: Run number.
        kind: How the run ended.
    """

    position: int
    task: values.TaskName
    number: values.RunNumber
    kind: values.EndKind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """Answer of a worker to a status poll.

    Attributes:
        clock_ms: Worker's clock, in milliseconds.
        started_ms: Start of the worker's incarnation, in milliseconds since
            1970; 0 if not sent.
        running: Runs in progress.
        ended: Ends that the allocator has not acknowledged.
    """

    clock_ms: int
    started_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
