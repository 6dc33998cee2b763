"""Writes the records of this instance to the table, rate-limited in batches."""

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

URGENT_DELAY_S: Final = 0.005
BATCH_DELAY_S: Final = 0.25
MIN_WRITE_INTERVAL_S: Final = 0.05
INTERVAL_PER_ROW_S: Final = 0.033
RETRY_INTERVAL_S: Final = 0.5
MAX_INLINE_OUTCOME_BYTES: Final = 4096
MAX_KEPT_RECORDS: Final = 20_000
INDEX_PREFIX: Final = 'open/'
_LOG_PREFIX: Final = 'records:'


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Counters of the record service since its start."""

    transactions: int = 0
    rows: int = 0
    unknown: int = 0
    unsent: int = 0
    conflicts: int = 0
    unrecorded_ends: int = 0


class RecordService:
    """Writes the transactions of the group writer to the table.

    Attributes:
        available: Whether the platform answered the last request.
        on_event: Called with each event that follows from a write's result.
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
        self.write_pending = False
        self.earliest_flush_s = timer_service.now()
        self.flush_timer: timers.Timer | None = None
        self.flush_s = self.earliest_flush_s

    def queue(
        self,
        parsed: identity.ParsedId,
        record: records.Record,
        *,
        hold: holds.Hold,
        required: bool,
    ) -> None:
        """Schedule the `queued` record of a submission of this owner."""
        prefix = records.bucket_prefix(parsed)
        self.group.put(prefix, record, hold=hold, required=required)
        self.group.index_bucket(
            INDEX_PREFIX + self.group.owner, records.bucket_of(parsed)
        )
        self.schedule_flush(URGENT_DELAY_S)

    def insert(
        self, key: str, record: records.Record, hold: holds.Hold
    ) -> None:
        """Schedule a row of its own, written before any task starts."""
        self.group.insert(key, record, hold)
        self.schedule_flush(URGENT_DELAY_S)

    def claim(self, submission_id: names.SubmissionId) -> None:
        """Schedule the claim of a queued submission."""
        self.group.claim(submission_id)
        self.schedule_flush(URGENT_DELAY_S)

    def adopt(self, row: messages.FoundRow) -> None:
        """Schedule the takeover of a row whose owner is believed dead."""
        self.group.adopt(row)
        self.schedule_flush(URGENT_DELAY_S)

    def end(
        self,
        parsed: identity.ParsedId,
        record: records.Record,
        hold: holds.Hold,
    ) -> endings.ReportTiming:
        """Schedule the record of an end; see `endings.record_end`."""
        if stays_unrecorded(self.group, record, hold):
            self.counters.unrecorded_ends += 1
            return endings.ReportTiming.IMMEDIATE
        if len(record.outcome) > MAX_INLINE_OUTCOME_BYTES and not hold.held():
            defer.ensureDeferred(self.store_large(parsed, record, hold))
            return endings.ReportTiming.IMMEDIATE
        prefix = records.bucket_prefix(parsed)
        timing = endings.record_end(self.group, prefix, record, hold)
        reported_now = timing is endings.ReportTiming.IMMEDIATE
        self.schedule_flush(BATCH_DELAY_S if reported_now else URGENT_DELAY_S)
        return timing

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
                self.schedule_flush(BATCH_DELAY_S)
            case _:
                self.counters.unrecorded_ends += 1

    def schedule_flush(self, delay_s: float) -> None:
        """Schedule a flush, delayed so that further records can join it."""
        now_s = self.timers.now()
        flush_s = max(self.earliest_flush_s, now_s + delay_s)
        if self.flush_timer is not None and self.flush_s <= flush_s:
            return
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        self.flush_s = flush_s
        self.flush_timer = self.timers.call_after(flush_s - now_s, self.flush)

    def flush(self) -> None:
        """Send the next transaction unless one is in flight."""
        self.flush_timer = None
        if self.write_pending:
            return
        transaction = self.group.next_transaction()
        if transaction is not None:
            self.write_pending = True
            pending = self.table.transact(
                transaction.operation_id,
                tuple(map(to_row_write, transaction.changes)),
            )
            pending.addCallback(self.on_write_outcome, len(transaction.changes))
            pending.addErrback(log_unexpected_failure)
            pending.addBoth(lambda _: self.schedule_flush(BATCH_DELAY_S))
        elif not self.available:
            self.probe()

    def probe(self) -> None:
        """Read a row to check whether the platform answers again."""
        pending = self.table.read(INDEX_PREFIX + self.group.owner)
        pending.addCallback(self.on_probe_answer)

    def on_probe_answer(self, found: platform.Row | platform.Away) -> None:
        """Handle the answer to a probe."""
        match found:
            case platform.Row():
                self.available = True
                self.schedule_flush(URGENT_DELAY_S)
            case platform.Away():
                self.schedule_flush(RETRY_INTERVAL_S)

    def on_write_outcome(
        self, outcome: platform.WriteOutcome, rows: int
    ) -> None:
        """Handle the outcome of a transaction and report its events."""
        self.write_pending = False
        result = to_write_result(outcome)
        self.count_result(result, rows)
        now_s = self.timers.now()
        pause_s = max(MIN_WRITE_INTERVAL_S, rows * INTERVAL_PER_ROW_S)
        if not self.available:
            pause_s = RETRY_INTERVAL_S
        self.earliest_flush_s = now_s + pause_s
        for event in self.group.apply_result(result):
            for callback in self.on_event:
                callback(event)
        urgent, dirty = self.group.backlog()
        if urgent:
            self.schedule_flush(URGENT_DELAY_S)
        elif dirty or not self.available:
            self.schedule_flush(BATCH_DELAY_S)

    def count_result(self, result: messages.WriteResult, rows: int) -> None:
        """Count a result and record whether the platform answers."""
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


def stays_unrecorded(
    group: writer.GroupWriter, record: records.Record, hold: holds.Hold
) -> bool:
    """Return whether an end stays unrecorded, to bound memory use."""
    kept = record.submission_id in group.row_keys
    full = len(group.row_keys) >= MAX_KEPT_RECORDS
    return full and not kept and not hold.held()


def to_row_write(change: messages.RowChange) -> platform.RowWrite:
    """Convert the change of a row to a write of the table."""
    return platform.RowWrite(
        key=change.key,
        expected_version=change.expected_version,
        body=records.encode(change.segment),
    )


def to_found_row(row: platform.Row) -> messages.FoundRow:
    """Decode the segment of a row of the table."""
    return messages.FoundRow(
        key=row.key, version=row.version, segment=records.decode(row.body)
    )


def to_write_result(outcome: platform.WriteOutcome) -> messages.WriteResult:
    """Convert an outcome of the table to a result for the writer."""
    match outcome:
        case platform.Committed():
            return messages.WriteCommitted()
        case platform.Conflict():
            return messages.WriteConflict(
                rows=tuple(map(to_found_row, outcome.rows))
            )
        case platform.Away():
            return messages.WriteUnsent()
    return messages.WriteUnknown()


def log_unexpected_failure(failure: Any) -> None:
    """Log an unexpected exception."""
    loguru.logger.opt(exception=failure.value).error(
        '{} internal error', _LOG_PREFIX
    )
