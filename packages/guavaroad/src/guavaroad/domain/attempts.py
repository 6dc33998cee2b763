"""Outcomes of sending one task to one upstream."""

import dataclasses
import enum

import msgspec


class NotStartedReason(enum.Enum):
    """Reason for which an attempt is known not to have started the task."""

    CONNECT_FAILED = 'connect failed'
    BUSY = 'upstream busy'
    LEAVING = 'upstream leaving'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The task ran and succeeded.

    Attributes:
        body: JSON-encoded result.
        leaving: Whether the upstream reported that it accepts no more work.
    """

    body: msgspec.Raw
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotStarted:
    """The task is known not to have started, so it may be retried."""

    reason: NotStartedReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The task ran and failed.

    Attributes:
        detail: Error text of the upstream, truncated.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lost:
    """The task may have run, and no result will arrive.

    Attributes:
        detail: Description of the failure.
    """

    detail: str


AttemptOutcome = Answered | NotStarted | Failed | Lost
