"""In-memory platform table and instance list with injected faults."""

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
class WriteTrigger:
    """Fires at writes whose operation id has a given suffix.

    Attributes:
        suffix: Suffix of the operation id.
        action: Called each time it fires.
        max_hits: Number of times it fires.
        hits: Number of times it has fired.
    """

    suffix: str
    action: Callable[[], object] = bool
    max_hits: int = 1
    hits: int = 0

    def observe(self, operation_id: str) -> bool:
        """Return whether it fires at this write, and run the action."""
        if not operation_id.endswith(self.suffix) or self.hits >= self.max_hits:
            return False
        self.hits += 1
        self.action()
        return True


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults between an instance and the platform.

    Attributes:
        cut: Whether the platform is unreachable.
        slow_s: Delay of each answer, in seconds.
        lose_answer: Called with the operation id; a true value drops the
            answer after the write took effect.
        lose_write: Called with the operation id; a true value drops the
            write.
        before_write: Called with the operation id before each write.
        stale_reads: Outdated rows that the next reads return, one each.
    """

    cut: bool = False
    slow_s: float = 0
    lose_answer: Callable[[str], object] = _never
    lose_write: Callable[[str], object] = _never
    before_write: Callable[[str], object] = _never
    stale_reads: list[platform.Row] = dataclasses.field(default_factory=list)


class Rows:
    """Table rows that all instances share."""

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
        """Apply a transaction, at most once per operation id."""
        if operation_id not in self.outcomes:
            self.outcomes[operation_id] = self.apply(writes)
        return self.outcomes[operation_id]

    def apply(
        self, writes: tuple[platform.RowWrite, ...]
    ) -> platform.WriteOutcome:
        """Write all rows, or none on a version conflict."""
        current = [self.read(write.key) for write in writes]
        conflicts = [
            row
            for row, write in zip(current, writes, strict=True)
            if row.version != write.expected_version
        ]
        if conflicts:
            return platform.Conflict(rows=tuple(conflicts))
        for row, write in zip(current, writes, strict=True):
            written = platform.Row(
                key=row.key, version=row.version + 1, body=write.body
            )
            self.rows[row.key] = written
            self.history.append(written)
        return platform.Committed()


class MemoryPlatform:
    """Connection of one instance to the in-memory platform."""

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
            return self.delayed(platform.Away(detail='platform unreachable'))
        if self.faults.stale_reads:
            return self.delayed(self.faults.stale_reads.pop(0))
        return self.delayed(self.rows.read(key))

    def transact(
        self, operation_id: str, writes: tuple[platform.RowWrite, ...]
    ) -> 'defer.Deferred[platform.WriteOutcome]':
        """Write all rows or none, subject to the faults."""
        self.faults.before_write(operation_id)
        if self.faults.cut:
            return self.delayed(platform.Away(detail='platform unreachable'))
        if self.faults.lose_write(operation_id):
            return self.delayed(platform.Unknown(detail='write lost'))
        outcome = self.rows.transact(operation_id, writes)
        if self.faults.lose_answer(operation_id):
            return self.delayed(platform.Unknown(detail='answer lost'))
        return self.delayed(outcome)

    def scan(
        self, prefix: str
    ) -> 'defer.Deferred[tuple[platform.Row, ...] | platform.Away]':
        """Read the rows whose keys have a prefix."""
        found = [
            row for key, row in self.rows.rows.items() if key.startswith(prefix)
        ]
        return self.delayed(tuple(found))

    def outcome_of(
        self, operation_id: str
    ) -> 'defer.Deferred[platform.WriteOutcome | platform.Absent]':
        """Read the outcome of a transaction by its operation id."""
        return self.delayed(self.rows.outcomes.get(operation_id, _ABSENT))

    def list_instances(
        self,
    ) -> 'defer.Deferred[platform.InstanceList | platform.Away]':
        """Read the instance list."""
        if self.faults.cut:
            return self.delayed(platform.Away(detail='platform unreachable'))
        return self.delayed(self.listed)

    def delayed(self, answer: Answer) -> 'defer.Deferred[Answer]':
        """Return a Deferred that fires with an answer after `slow_s`."""
        waiting: defer.Deferred[Answer] = defer.Deferred()
        self.timers.call_after(
            self.faults.slow_s, lambda: waiting.callback(answer)
        )
        return waiting
