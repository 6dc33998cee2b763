"""Keeps the configuration in force, and drives patches into the head row."""

import dataclasses
import secrets
from collections.abc import Callable
from typing import Any, Final

import msgspec
from twisted.internet import defer

from guavaroad.domain import codes, names
from guavaroad.domain.configuration import document, merge_patch
from guavaroad.ports import platform, timers
from guavaroad.services import (
    answers,
)

HEAD_KEY: Final = 'config/head'
_OPERATION_BYTES: Final = 8


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the head row."""

    version: int
    document: dict[str, Any]
    operation_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """The configuration this instance serves.

    Attributes:
        version: Its number.
        raw: Decoded JSON of the document.
        document: The document, checked.
    """

    version: names.Version
    raw: dict[str, Any]
    document: document.Document


EMPTY: Final = InForce(
    version=names.Version(0), raw={}, document=document.Document()
)


class ConfigurationService:
    """Reads the head row and writes patches to it by compare-and-set."""

    def __init__(
        self,
        *,
        table: platform.TablePort,
        timer_service: timers.TimerService,
        period_s: float,
    ) -> None:
        self.table = table
        self.in_force: InForce | None = None
        self.on_change: list[Callable[[], object]] = []
        timer_service.subscribe(period_s, self.refresh)

    def current(self) -> document.Document | None:
        """Return the document in force, if one is known."""
        return self.in_force.document if self.in_force else None

    def refresh(self) -> 'defer.Deferred[None]':
        """Read the head row."""
        return defer.ensureDeferred(self.read_head())

    async def read_head(self) -> None:
        """Read the head row and put a newer version in force."""
        row = await self.table.read(HEAD_KEY)
        match row:
            case platform.Row():
                self.adopt(head_of(row))

    def adopt(self, head: Head) -> None:
        """Put a head in force unless it is older than what is known."""
        known = self.in_force
        if known is not None and head.version <= known.version:
            return
        checked = document.check_document(head.document)
        match checked:
            case document.Document():
                self.in_force = InForce(
                    version=names.Version(head.version),
                    raw=head.document,
                    document=checked,
                )
                for changed in self.on_change:
                    changed()

    def show(self) -> answers.Answer:
        """Answer with the document in force."""
        known = self.in_force
        if known is None:
            return answers.plain(codes.ResultCode.NO_CONFIGURATION)
        return answers.plain(
            codes.ResultCode.CONFIGURATION,
            extra={'version': known.version, 'document': known.raw},
        )

    def patch(
        self, base: int, change: bytes
    ) -> 'defer.Deferred[answers.Answer]':
        """Apply a merge patch to the base version.

        Args:
            base: Version the operator saw.
            change: Encoded merge patch.

        Returns:
            Fires with the answer.
        """
        return defer.ensureDeferred(self.drive(base, change))

    async def drive(self, base: int, change: bytes) -> answers.Answer:
        """Check, write and put in force."""
        row = await self.table.read(HEAD_KEY)
        match row:
            case platform.Away():
                return answers.plain(
                    codes.ResultCode.PLATFORM_AWAY, detail=row.detail
                )
        head = head_of(row)
        if head.version != base:
            return stale(head.version)
        merged = merge_patch.apply_patch(
            head.document, msgspec.json.decode(change)
        )
        checked = document.check_document(merged)
        match checked:
            case document.Invalid():
                return answers.plain(
                    codes.ResultCode.PATCH_INVALID,
                    detail='; '.join(checked.problems),
                )
        proposed = Head(
            version=base + 1,
            document=merged,
            operation_id=secrets.token_hex(_OPERATION_BYTES),
        )
        return await self.write(row, proposed)

    async def write(self, row: platform.Row, proposed: Head) -> answers.Answer:
        """Write the new head by compare-and-set."""
        outcome = await self.table.transact(
            proposed.operation_id,
            (
                platform.RowWrite(
                    key=HEAD_KEY,
                    expected_version=row.version,
                    body=msgspec.json.encode(proposed),
                ),
            ),
        )
        match outcome:
            case platform.Committed():
                self.adopt(proposed)
                return answers.plain(
                    codes.ResultCode.PATCH_ACCEPTED,
                    extra={'version': proposed.version},
                )
            case platform.Conflict():
                return stale(head_of(outcome.rows[0]).version)
            case platform.Away():
                return answers.plain(
                    codes.ResultCode.PLATFORM_AWAY, detail=outcome.detail
                )
            case platform.Unknown():
                return answers.plain(
                    codes.ResultCode.PATCH_UNKNOWN, detail=outcome.detail
                )


def head_of(row: platform.Row) -> Head:
    """Read the head from its row; no row is version 0."""
    if not row.version:
        return Head(version=0, document={})
    return msgspec.json.decode(row.body, type=Head)


def stale(live: int) -> answers.Answer:
    """Refuse a patch on an older version."""
    return answers.plain(
        codes.ResultCode.PATCH_STALE,
        detail=f'the live version is {live}',
        extra={'version': live},
    )
