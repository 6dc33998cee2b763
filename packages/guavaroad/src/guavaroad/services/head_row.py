"""Reads and writes the head row on the platform's table."""

import dataclasses
from typing import Any, Final

from twisted.internet import defer

from guavaroad.domain.configuration import record
from guavaroad.ports import platform, timers

HEAD_KEY: Final = 'config/head'
_RETRY_INTERVAL_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadRow:
    """The head row as it was read.

    Attributes:
        row_version: Its version, 0 if there is no row.
        body: Its body.
    """

    row_version: int
    body: record.Record


class HeadTable:
    """The table row that holds the configuration."""

    def __init__(
        self,
        *,
        table: platform.TablePort,
        timer_service: timers.TimerService,
    ) -> None:
        self.table = table
        self.timers = timer_service

    async def read(self) -> HeadRow | platform.Away:
        """Read the row."""
        found = await self.table.read(HEAD_KEY)
        match found:
            case platform.Row():
                return row_of(found)
        return found

    async def write(
        self,
        operation_id: str,
        row_version: int,
        body: record.Record,
        *,
        budget_s: float,
    ) -> platform.WriteOutcome:
        """Replace the row; repeat the write while its outcome is unknown.

        Args:
            operation_id: Unique to this step; a repeat writes nothing.
            row_version: Version that the row must have.
            body: New body.
            budget_s: Longest time to keep repeating, seconds.

        Returns:
            The outcome; `Unknown` only if some attempt may have been applied
            and no answer arrived in time.
        """
        deadline_s = self.timers.now() + budget_s
        write = platform.RowWrite(
            key=HEAD_KEY,
            expected_version=row_version,
            body=record.encode(body),
        )
        last_unknown: platform.Unknown | None = None
        while True:
            outcome = await self.table.transact(operation_id, (write,))
            match outcome:
                case platform.Committed() | platform.Conflict():
                    return outcome
                case platform.Unknown():
                    last_unknown = outcome
            if self.timers.now() >= deadline_s:
                return last_unknown or outcome
            await self.pause(_RETRY_INTERVAL_S)

    def pause(self, seconds: float) -> 'defer.Deferred[None]':
        """Return a Deferred that fires after some seconds."""
        pending: defer.Deferred[Any] = defer.Deferred()
        self.timers.call_after(seconds, lambda: pending.callback(None))
        return pending


def row_of(row: platform.Row) -> HeadRow:
    """Decode the head row."""
    return HeadRow(row_version=row.version, body=record.decode(row.body))
