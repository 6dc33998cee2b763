"""Sends the records of this instance to the table, paced and in groups."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

import loguru
from twisted.internet import defer

from guavaroad.domain import identity, names
from guavaroad.domain.submissions import (
    endings,
    holds,
    messages,
    records,
    writer,
)
from guavaroad.ports import platform, timers

URGENT_LINGER_S: Final = 0.005
LAZY_LINGER_S: Final = 0.25
MIN_GAP_S: Final = 0.05
ROW_INTERVAL_S: Final = 0.033
RETRY_S: Final = 0.5
INLINE_OUTCOME_BYTES: Final = 4096
MAX_KEPT_RECORDS: Final = 20_000
INDEX_PREFIX: Final = 'open/'
_LOG_PREFIX: Final = 'records:'


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Work of the record service since the start."""

    transactions: int = 0
    rows: int = 0
    unknown: int = 0
    unsent: int = 0
    conflicts: int = 0
    unrecorded_ends: int = 0


class RecordService:
    """Brings the table up to date with the records of the writer.

    Attributes:
        available: Whether the platform answered last.
        on_event: Called with everything that the table is known to say.
    """

    def __init__(
        self,
        *,
        group: writer.GroupWriter,
        table: platform.TablePort,
        store: platform.ObjectPort,
        timer_service: timers.TimerService,
    ) -> None:
        self.group = group
        self.table = table
        self.store = store
        self.timers = timer_service
        self.available = True
        self.on_event: list[Callable[[messages.Event], object]] = []
        self.counters = Counters()
        self.sending = False
        self.next_s = timer_service.now()
        self.due: timers.Timer | None = None
        self.due_s = self.next_s

    def queue(
        self,
        parsed: identity.ParsedId,
        record: records.Record,
        *,
        hold: holds.Hold,
        required: bool,
    ) -> None:
        """Ask for the `queued` record of a submission of this owner."""
        prefix = records.bucket_prefix(parsed)
        self.group.put(prefix, record, hold=hold, required=required)
        self.group.index_bucket(
            INDEX_PREFIX + self.group.owner, records.bucket_of(parsed)
        )
        self.wake(URGENT_LINGER_S)

    def insert(
        self, key: str, record: records.Record, hold: holds.Hold
    ) -> None:
        """Ask for a row of its own, written before any start."""
        self.group.insert(key, record, hold)
        self.wake(URGENT_LINGER_S)

    def claim(self, submission_id: names.SubmissionId) -> None:
        """Ask for the claim of a queued submission."""
        self.group.claim(submission_id)
        self.wake(URGENT_LINGER_S)

    def adopt(self, row: messages.FoundRow) -> None:
        """Ask to take over the row of an owner that is believed dead."""
        self.group.adopt(row)
        self.wake(URGENT_LINGER_S)

    def end(
        self,
        parsed: identity.ParsedId,
        record: records.Record,
        hold: holds.Hold,
    ) -> endings.ReportTiming:
        """Ask for the record of an end; see `endings.record_end`."""
        if left_out(self.group, record, hold):
            self.counters.unrecorded_ends += 1
            return endings.ReportTiming.IMMEDIATE
        if len(record.outcome) > INLINE_OUTCOME_BYTES and not hold.held():
            defer.ensureDeferred(self.store_large(parsed, record, hold))
            return endings.ReportTiming.IMMEDIATE
        prefix = records.bucket_prefix(parsed)
        saying = endings.record_end(self.group, prefix, record, hold)
        lazy = saying is endings.ReportTiming.IMMEDIATE
        self.wake(LAZY_LINGER_S if lazy else URGENT_LINGER_S)
        return saying

    async def store_large(
        self,
        parsed: identity.ParsedId,
        record: records.Record,
        hold: holds.Hold,
    ) -> None:
        """Put a large outcome in the object store, then record the end."""
        key = f'outcomes/{record.submission_id}'
        stored = await self.store.put(key, record.outcome)
        match stored:
            case platform.Committed():
                prefix = records.bucket_prefix(parsed)
                small = records.with_object_key(record, key)
                endings.record_end(self.group, prefix, small, hold)
                self.wake(LAZY_LINGER_S)
            case _:
                self.counters.unrecorded_ends += 1

    def wake(self, linger_s: float) -> None:
        """Send what is to be written, after a short wait for more of it."""
        now_s = self.timers.now()
        due_s = max(self.next_s, now_s + linger_s)
        if self.due is not None and self.due_s <= due_s:
            return
        if self.due is not None:
            self.due.cancel()
        self.due_s = due_s
        self.due = self.timers.call_after(due_s - now_s, self.flush)

    def flush(self) -> None:
        """Send the next transaction unless one is on its way."""
        self.due = None
        if self.sending:
            return
        transaction = self.group.next_transaction()
        if transaction is not None:
            self.sending = True
            pending = self.table.transact(
                transaction.operation_id,
                tuple(map(row_write, transaction.changes)),
            )
            pending.addCallback(self.answered, len(transaction.changes))
            pending.addErrback(log_broken)
            pending.addBoth(lambda _: self.wake(LAZY_LINGER_S))
        elif not self.available:
            self.probe()

    def probe(self) -> None:
        """Ask whether the platform answers again."""
        pending = self.table.read(INDEX_PREFIX + self.group.owner)
        pending.addCallback(self.probed)

    def probed(self, found: platform.Row | platform.Away) -> None:
        """Take the answer of a probe."""
        match found:
            case platform.Row():
                self.available = True
                self.wake(URGENT_LINGER_S)
            case platform.Away():
                self.wake(RETRY_S)

    def answered(self, outcome: platform.WriteOutcome, rows: int) -> None:
        """Take the outcome of a send and tell the owner what is known."""
        self.sending = False
        result = result_of(outcome)
        self.count(result, rows)
        now_s = self.timers.now()
        pause_s = max(MIN_GAP_S, rows * ROW_INTERVAL_S)
        if not self.available:
            pause_s = RETRY_S
        self.next_s = now_s + pause_s
        for event in self.group.apply_result(result):
            for listener in self.on_event:
                listener(event)
        urgent, dirty = self.group.backlog()
        if urgent:
            self.wake(URGENT_LINGER_S)
        elif dirty or not self.available:
            self.wake(LAZY_LINGER_S)

    def count(self, result: messages.WriteResult, rows: int) -> None:
        """Count a result and note whether the platform answers."""
        was_available = self.available
        self.available = False
        match result:
            case messages.WriteCommitted():
                self.available = True
                self.counters.transactions += 1
                self.counters.rows += rows
            case messages.WriteConflict():
                self.available = True
                self.counters.conflicts += 1
            case messages.WriteUnknown():
                self.counters.unknown += 1
            case messages.WriteUnsent():
                self.counters.unsent += 1
        if was_available is not self.available:
            state = 'back' if self.available else 'away'
            loguru.logger.warning('{} the platform is {}', _LOG_PREFIX, state)

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            'platform_available': self.available,
            'segments': len(self.group.segments),
            'records': len(self.group.row_keys),
            'unwritten': self.group.unwritten(),
            'in_flight': self.group.pending is not None,
            **dataclasses.asdict(self.counters),
        }


def left_out(
    group: writer.GroupWriter, record: records.Record, hold: holds.Hold
) -> bool:
    """Return whether an end stays unrecorded, to bound the memory."""
    kept = record.submission_id in group.row_keys
    full = len(group.row_keys) >= MAX_KEPT_RECORDS
    return full and not kept and not hold.held()


def row_write(change: messages.RowChange) -> platform.RowWrite:
    """Return the write of a row as the table takes it."""
    return platform.RowWrite(
        key=change.key,
        expected_version=change.expected_version,
        body=records.encode(change.segment),
    )


def found_row(row: platform.Row) -> messages.FoundRow:
    """Return a row of the table with its segment decoded."""
    return messages.FoundRow(
        key=row.key, version=row.version, segment=records.decode(row.body)
    )


def result_of(outcome: platform.WriteOutcome) -> messages.WriteResult:
    """Return an outcome of the table as the writer takes it."""
    match outcome:
        case platform.Committed():
            return messages.WriteCommitted()
        case platform.Conflict():
            return messages.WriteConflict(
                rows=tuple(map(found_row, outcome.rows))
            )
        case platform.Away():
            return messages.WriteUnsent()
    return messages.WriteUnknown()


def log_broken(broken: Any) -> None:
    """Log an exception that nothing expected."""
    loguru.logger.opt(exception=broken.value).error(
        '{} internal error', _LOG_PREFIX
    )
