"""What workers answer to orders and looks."""

import dataclasses
import enum

from guavaroad.domain.pool import values


class Refusal(enum.Enum):
    """Why a worker did not take an order."""

    FENCED = 'fenced'
    STALE_RUN = 'stale_run'
    LEASE_OVER = 'lease_over'
    NO_ROOM = 'no_room'
    UNHEALTHY = 'unhealthy'
    OTHER_INCARNATION = 'other_life'
    MALFORMED = 'malformed'
    UNREACHED = 'unreached'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The worker did what it was told.

    Attributes:
        clock_ms: Its clock; negative if it did not say.
    """

    clock_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The worker did nothing.

    Attributes:
        reason: Why.
        clock_ms: Its clock; negative if it did not say.
    """

    reason: Refusal
    clock_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer:
    """The order may have been carried out, now or later.

    Attributes:
        detail: What broke.
    """

    detail: str


OrderOutcome = Accepted | Refused | NoAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedRun:
    """A run that a worker lists.

    Attributes:
        task: Name of the task.
        number: Number of the start.
        percent: Progress.
    """

    task: values.TaskName
    number: values.RunNumber
    percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedEnd:
    """An end that a worker lists.

    Attributes:
        position: Number of the end in this life of the worker.
        task: Name of the task.
        number: Number of the start.
        kind: How it ended.
    """

    position: int
    task: values.TaskName
    number: values.RunNumber
    kind: values.EndKind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """Answer to a look at a worker.

    Attributes:
        clock_ms: Its clock.
        started_ms: Start of its life; 0 if it did not say.
        running: What runs.
        ended: Ends that were not taken note of.
    """

    clock_ms: int
    started_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
