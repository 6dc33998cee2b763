"""Finds records in the table and takes over those of lost owners."""

import collections
from typing import Any, Final

import loguru
from twisted.internet import defer

from guavaroad.domain import identity, jobs
from guavaroad.domain.submissions import lookups, messages, packing, records
from guavaroad.ports import platform, timers
from guavaroad.services import forwarding
from guavaroad.services import records as record_service

SCAN_PERIOD_S: Final = 3
DEAD_AFTER_FAILED_PROBES: Final = 2
ADOPTION_CHECK_INTERVAL_S: Final = 0.02
MAX_ADOPTION_CHECKS: Final = 250
_LOG_PREFIX: Final = 'takeover:'


class TakeoverService:
    """Reads the records of any owner; takes over queued ones of dead owners.

    An owner that is believed dead may be alive.  The takeover is a
    compare-and-set on the row, so a wrong belief costs only a message.

    Attributes:
        failed_probes: Consecutive unanswered probes, by incarnation.
        cleared_owners: Dead incarnations that have no queued record left.
    """

    def __init__(
        self,
        *,
        me: str,
        table: platform.TablePort,
        store: platform.ObjectPort,
        recorder: record_service.RecordService,
        forwarder: forwarding.Forwarder,
        timer_service: timers.TimerService,
    ) -> None:
        self.own_name = me
        self.table = table
        self.store = store
        self.recorder = recorder
        self.forwarder = forwarder
        self.timers = timer_service
        self.failed_probes: collections.Counter[str] = collections.Counter()
        self.cleared_owners: set[str] = set()
        self.scanning = False
        timer_service.subscribe(SCAN_PERIOD_S, self.scan)

    async def find(
        self, parsed: identity.ParsedId
    ) -> lookups.Finding | platform.Away:
        """Find the record of an id in the table."""
        rows = await self.table.scan(records.bucket_prefix(parsed))
        match rows:
            case platform.Away():
                return rows
        found = tuple(map(record_service.to_found_row, rows))
        return lookups.find_record(found, identity.format_id(parsed))

    async def outcome(
        self, record: records.Record
    ) -> jobs.JobOutcome | platform.Away:
        """Read the outcome of an ended record or of its stored object."""
        if not record.object_key:
            return packing.unpack_outcome(record.outcome)
        stored = await self.store.fetch(record.object_key)
        match stored:
            case bytes():
                return packing.unpack_outcome(stored)
        return platform.Away(
            detail='the object with the outcome is unavailable'
        )

    async def adopt(self, row: messages.FoundRow) -> None:
        """Take over a row; wait for a limited time until that is decided."""
        loguru.logger.warning(
            '{} taking over {} of {}',
            _LOG_PREFIX,
            row.key,
            row.segment.holder,
        )
        self.recorder.adopt(row)
        for _ in range(MAX_ADOPTION_CHECKS):
            segment = self.recorder.group.segments.get(row.key)
            if segment is None or not segment.adopting:
                return
            await self.pause()

    def pause(self) -> 'defer.Deferred[None]':
        """Wait for the next check."""
        pending: defer.Deferred[None] = defer.Deferred()
        self.timers.call_after(
            ADOPTION_CHECK_INTERVAL_S, lambda: pending.callback(None)
        )
        return pending

    def scan(self) -> None:
        """Look for queued records of dead owners, one scan at a time."""
        if not self.scanning:
            self.scanning = True
            pending = defer.ensureDeferred(self.scan_owners())
            pending.addErrback(record_service.log_unexpected_failure)
            pending.addBoth(self.on_scan_ended)

    def on_scan_ended(self, _: Any) -> None:
        """Allow the next scan."""
        self.scanning = False

    async def scan_owners(self) -> None:
        """Read the index rows and scan the records of dead owners."""
        rows = await self.table.scan(record_service.INDEX_PREFIX)
        match rows:
            case platform.Away():
                return
        for row in rows:
            owner = row.key.removeprefix(record_service.INDEX_PREFIX)
            if owner != self.own_name and owner not in self.cleared_owners:
                await self.scan_owner(owner, records.decode(row.body))

    async def scan_owner(self, owner: str, index: records.Segment) -> None:
        """Take over the queued records of an owner if it is dead."""
        if not await self.is_believed_dead(owner):
            return
        queued = 0
        for listed in index.records:
            prefix = records.rows_prefix(owner, listed.submission_id)
            queued += await self.adopt_rows(prefix)
        if not queued:
            self.cleared_owners.add(owner)

    async def adopt_rows(self, prefix: str) -> int:
        """Take over the rows of a bucket; return their queued record count."""
        rows = await self.table.scan(prefix)
        match rows:
            case platform.Away():
                return 1
        seen = 0
        for row in map(record_service.to_found_row, rows):
            queued = queued_count(row.segment)
            seen += queued
            if queued and await self.is_believed_dead(row.segment.holder):
                await self.adopt(row)
        return seen

    async def is_believed_dead(self, owner: str) -> bool:
        """Probe an incarnation; return whether it counts as dead."""
        if owner == self.own_name:
            return False
        alive = await self.forwarder.probe(records.parse_owner(owner))
        if alive is None:
            self.failed_probes[owner] += 1
            return self.failed_probes[owner] >= DEAD_AFTER_FAILED_PROBES
        self.failed_probes.pop(owner, None)
        return not alive

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            'unanswered_probes': dict(self.failed_probes),
            'cleared_owners': len(self.cleared_owners),
        }


def queued_count(segment: records.Segment) -> int:
    """Return the number of queued records of a segment."""
    queued = records.RecordState.QUEUED
    return sum(record.state is queued for record in segment.records)
