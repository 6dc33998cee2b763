"""Outcome of handing one task to one upstream."""

import dataclasses
import enum

import msgspec


class NotStartedReason(enum.Enum):
    """Why an attempt provably started nothing."""

    CONNECT_FAILED = 'connect failed'
    BUSY = 'upstream busy'
    LEAVING = 'upstream leaving'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The task ran and succeeded.

    Attributes:
        body: Encoded JSON answer.
        leaving: Whether the upstream says that it takes no more work.
    """

    body: msgspec.Raw
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotStarted:
    """The task provably did not start; another attempt is allowed."""

    reason: NotStartedReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The task ran and failed.

    Attributes:
        detail: The upstream's words, cut short.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lost:
    """The task may have run; its answer will not come.

    Attributes:
        detail: What broke.
    """

    detail: str


AttemptOutcome = Answered | NotStarted | Failed | Lost
