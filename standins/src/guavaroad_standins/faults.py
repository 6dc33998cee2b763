"""Switchable faults of the stand-ins."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of the platform stand-in.

    Attributes:
        down: Connections are dropped without an answer.
        slow_ms: Milliseconds before each answer.
        lost_answers: Writes still to come whose answer is dropped after they
            took effect.
        list_frozen: The instance list keeps showing its present state.
        hold: Writes are held until the next switch without it: at the
            `request`, before they take effect, or at the `answer`.
        hold_skip: Writes that still pass before the first is held.
        hold_count: Writes that are held; those after them pass.
    """

    down: bool = False
    slow_ms: int = 0
    lost_answers: int = 0
    list_frozen: bool = False
    hold: str = ''
    hold_skip: int = 0
    hold_count: int = 1


class UpstreamFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of an upstream stand-in.

    Attributes:
        slow_ms: Milliseconds added to each task.
        failing: Every task fails at once.
        busy: Every task is refused as not started.
        drop_before: Connections are dropped before the start.
        drop_after: Connections are dropped after the start.
        leaving: Every task is refused with the leaving header.
        hold: Tasks are held until the next switch without it: at the
            `request`, before the start, or at the `answer`.
    """

    slow_ms: int = 0
    failing: bool = False
    busy: bool = False
    drop_before: bool = False
    drop_after: bool = False
    leaving: bool = False
    hold: str = ''
