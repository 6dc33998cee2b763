"""Faults of the stand-ins, set over their admin pages."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of the platform stand-in.

    Attributes:
        down: Whether connections are closed without an answer.
        slow_ms: Delay of each answer, in milliseconds.
        lost_answers: Number of writes whose answers are dropped after the
            write took effect.
        list_frozen: Whether the instance list ignores updates.
        hold: Where writes are held until faults without `hold` are set:
            `request`, before they take effect, or `answer`, after it.
        hold_skip: Number of writes to pass before the first is held.
        hold_count: Number of writes to hold; later writes pass.
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
        slow_ms: Milliseconds added to the run time of each task.
        failing: Whether every task fails immediately.
        busy: Whether every task is refused as not started.
        drop_before: Whether connections are closed before the start.
        drop_after: Whether connections are closed after the task ran.
        leaving: Whether every task is refused with the leaving header.
        hold: Where tasks are held until faults without `hold` are set:
            `request`, before the start, or `answer`, after the run.
    """

    slow_ms: int = 0
    failing: bool = False
    busy: bool = False
    drop_before: bool = False
    drop_after: bool = False
    leaving: bool = False
    hold: str = ''
