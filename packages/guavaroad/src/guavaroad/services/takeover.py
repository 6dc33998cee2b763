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
FAILED_SCANS: Final = 2
ADOPT_CHECK_S: Final = 0.02
ADOPT_CHECKS: Final = 250
_LOG_PREFIX: Final = 'takeover:'


class TakeoverService:
    """Reads records for any instance; moves queued ones to this one.

    Whoever is believed dead may be alive: the row decides, by
    compare-and-set, so a wrong belief costs a message and nothing else.

    Attributes:
        failures: Probes in a row that an incarnation did not answer.
        cleared: Dead incarnations without a queued record left.
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
        self.me = me
        self.table = table
        self.store = store
        self.recorder = recorder
        self.forwarder = forwarder
        self.timers = timer_service
        self.failures: collections.Counter[str] = collections.Counter()
        self.cleared: set[str] = set()
        self.scanning = False
        timer_service.subscribe(SCAN_PERIOD_S, self.scan)

    async def find(
        self, parsed: identity.ParsedId
    ) -> lookups.Finding | platform.Away:
        """Read what the table says of an id."""
        rows = await self.table.scan(records.bucket_prefix(parsed))
        match rows:
            case platform.Away():
                return rows
        found = tuple(map(record_service.found_row, rows))
        return lookups.find_record(found, identity.format_id(parsed))

    async def outcome(
        self, record: records.Record
    ) -> jobs.JobOutcome | platform.Away:
        """Read the outcome of an ended record, from its object if large."""
        if not record.object_key:
            return packing.unpack_outcome(record.outcome)
        stored = await self.store.fetch(record.object_key)
        match stored:
            case bytes():
                return packing.unpack_outcome(stored)
        return platform.Away(detail='the object with the outcome is away')

    async def adopt(self, row: messages.FoundRow) -> None:
        """Take over a row and wait until that is decided."""
        loguru.logger.warning(
            '{} taking over {} of {}',
            _LOG_PREFIX,
            row.key,
            row.segment.holder,
        )
        self.recorder.adopt(row)
        for _ in range(ADOPT_CHECKS):
            kept = self.recorder.group.segments.get(row.key)
            if kept is None or not kept.adopting:
                return
            await self.pause()

    def pause(self) -> 'defer.Deferred[None]':
        """Wait for the next check."""
        waited: defer.Deferred[None] = defer.Deferred()
        self.timers.call_after(ADOPT_CHECK_S, lambda: waited.callback(None))
        return waited

    def scan(self) -> None:
        """Look for queued records of dead owners, one scan at a time."""
        if not self.scanning:
            self.scanning = True
            pending = defer.ensureDeferred(self.scan_owners())
            pending.addErrback(record_service.log_broken)
            pending.addBoth(self.scanned)

    def scanned(self, _: Any) -> None:
        """Let the next scan begin."""
        self.scanning = False

    async def scan_owners(self) -> None:
        """Read the index rows and look into those of dead owners."""
        rows = await self.table.scan(record_service.INDEX_PREFIX)
        match rows:
            case platform.Away():
                return
        for row in rows:
            owner = row.key.removeprefix(record_service.INDEX_PREFIX)
            if owner != self.me and owner not in self.cleared:
                await self.scan_owner(owner, records.decode(row.body))

    async def scan_owner(self, owner: str, index: records.Segment) -> None:
        """Take over the queued records of an owner if it is dead."""
        if not await self.believed_dead(owner):
            return
        queued = 0
        for listed in index.records:
            prefix = records.rows_prefix(owner, listed.submission_id)
            queued += await self.take_rows(prefix)
        if not queued:
            self.cleared.add(owner)

    async def take_rows(self, prefix: str) -> int:
        """Take over the rows of a bucket; return the queued records seen."""
        rows = await self.table.scan(prefix)
        match rows:
            case platform.Away():
                return 1
        seen = 0
        for row in map(record_service.found_row, rows):
            queued = queued_count(row.segment)
            seen += queued
            if queued and await self.believed_dead(row.segment.holder):
                await self.adopt(row)
        return seen

    async def believed_dead(self, owner: str) -> bool:
        """Probe an incarnation and judge by the last probes."""
        if owner == self.me:
            return False
        alive = await self.forwarder.probe(records.parse_owner(owner))
        if alive is None:
            self.failures[owner] += 1
            return self.failures[owner] >= FAILED_SCANS
        self.failures.pop(owner, None)
        return not alive

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            'unanswered_probes': dict(self.failures),
            'cleared_owners': len(self.cleared),
        }


def queued_count(segment: records.Segment) -> int:
    """Return the queued records of a segment."""
    queued = records.RecordState.QUEUED
    return sum(record.state is queued for record in segment.records)
