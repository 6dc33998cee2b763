"""The platform's table and list in memory, with faults for each write."""

import dataclasses
from collections.abc import Callable
from typing import Final, TypeVar

from twisted.internet import defer

from guavaroad.ports import platform, timers

Answer = TypeVar('Answer')
_ABSENT: Final = platform.Absent()


def _never(_: str) -> bool:
    return False


@dataclasses.dataclass(slots=True, kw_only=True)
class OnWrite:
    """A fault that strikes at writes whose operation id has an ending.

    Attributes:
        ending: Ending of the operation id.
        action: Called at each strike.
        most: Number of strikes.
        hits: Strikes so far.
    """

    ending: str
    action: Callable[[], object] = bool
    most: int = 1
    hits: int = 0

    def strike(self, operation_id: str) -> bool:
        """Return whether it strikes at this write."""
        if not operation_id.endswith(self.ending) or self.hits >= self.most:
            return False
        self.hits += 1
        self.action()
        return True


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """What goes wrong on the way to the platform.

    Attributes:
        cut: Whether nothing reaches it.
        slow_s: Seconds before each answer.
        lose_answer: Called with the operation id; a true value loses the
            answer after the write took effect.
        lose_write: Called likewise; a true value loses the write itself.
        before_write: Called with the operation id before each write.
        stale_reads: Rows that the next reads answer, an old state each.
    """

    cut: bool = False
    slow_s: float = 0
    lose_answer: Callable[[str], object] = _never
    lose_write: Callable[[str], object] = _never
    before_write: Callable[[str], object] = _never
    stale_reads: list[platform.Row] = dataclasses.field(default_factory=list)


class Rows:
    """The rows that every instance shares."""

    def __init__(self) -> None:
        self.rows: dict[str, platform.Row] = {}
        self.outcomes: dict[str, platform.WriteOutcome] = {}
        self.history: list[platform.Row] = []

    def read(self, key: str) -> platform.Row:
        """Return a row."""
        return self.rows.get(key, platform.Row(key=key, version=0))

    def transact(
        self, operation_id: str, writes: tuple[platform.RowWrite, ...]
    ) -> platform.WriteOutcome:
        """Write once for an operation id."""
        if operation_id not in self.outcomes:
            self.outcomes[operation_id] = self.apply(writes)
        return self.outcomes[operation_id]

    def apply(
        self, writes: tuple[platform.RowWrite, ...]
    ) -> platform.WriteOutcome:
        """Write all rows or none."""
        found = [self.read(write.key) for write in writes]
        wrong = [
            row
            for row, write in zip(found, writes, strict=True)
            if row.version != write.expected_version
        ]
        if wrong:
            return platform.Conflict(rows=tuple(wrong))
        for row, write in zip(found, writes, strict=True):
            written = platform.Row(
                key=row.key, version=row.version + 1, body=write.body
            )
            self.rows[row.key] = written
            self.history.append(written)
        return platform.Committed()


class MemoryPlatform:
    """The platform as one instance reaches it."""

    def __init__(
        self, *, rows: Rows, timer_service: timers.TimerService
    ) -> None:
        self.rows = rows
        self.timers = timer_service
        self.faults = Faults()
        self.listed: platform.InstanceList = platform.InstanceList(
            entries=(), upstreams=()
        )

    def read(self, key: str) -> 'defer.Deferred[platform.Row | platform.Away]':
        """Read one row."""
        if self.faults.cut:
            return self.later(platform.Away(detail='cut'))
        if self.faults.stale_reads:
            return self.later(self.faults.stale_reads.pop(0))
        return self.later(self.rows.read(key))

    def transact(
        self, operation_id: str, writes: tuple[platform.RowWrite, ...]
    ) -> 'defer.Deferred[platform.WriteOutcome]':
        """Write all rows or none."""
        self.faults.before_write(operation_id)
        if self.faults.cut:
            return self.later(platform.Away(detail='cut'))
        if self.faults.lose_write(operation_id):
            return self.later(platform.Unknown(detail='write lost'))
        outcome = self.rows.transact(operation_id, writes)
        if self.faults.lose_answer(operation_id):
            return self.later(platform.Unknown(detail='answer lost'))
        return self.later(outcome)

    def scan(
        self, prefix: str
    ) -> 'defer.Deferred[tuple[platform.Row, ...] | platform.Away]':
        """Read the rows below a prefix."""
        found = [
            row for key, row in self.rows.rows.items() if key.startswith(prefix)
        ]
        return self.later(tuple(found))

    def outcome_of(
        self, operation_id: str
    ) -> 'defer.Deferred[platform.WriteOutcome | platform.Absent]':
        """Read back what became of a transaction."""
        return self.later(self.rows.outcomes.get(operation_id, _ABSENT))

    def list_instances(
        self,
    ) -> 'defer.Deferred[platform.InstanceList | platform.Away]':
        """Read the list."""
        if self.faults.cut:
            return self.later(platform.Away(detail='cut'))
        return self.later(self.listed)

    def later(self, answer: Answer) -> 'defer.Deferred[Answer]':
        """Return an answer after the present delay."""
        waiting: defer.Deferred[Answer] = defer.Deferred()
        self.timers.call_after(
            self.faults.slow_s, lambda: waiting.callback(answer)
        )
        return waiting
