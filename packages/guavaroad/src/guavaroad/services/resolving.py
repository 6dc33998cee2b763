"""Answers for submissions of other owners: forwards, looks up, takes over."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

import msgspec
from twisted.internet import defer

from guavaroad.domain import codes, identity
from guavaroad.domain.submissions import lookups, records
from guavaroad.ports import platform
from guavaroad.services import (
    answers,
    forwarding,
    takeover,
)

MAX_OWNERS: Final = 4

Pending = defer.Deferred[answers.Answer]
Local = Callable[
    [identity.ParsedId, forwarding.ForwardedRequest], Pending | None
]


class CodeBody(msgspec.Struct, frozen=True):
    """The code of a relayed answer."""

    code: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Search:
    """One request on its way to an answer.

    Attributes:
        parsed: The id.
        request: The request.
        tried: Owners that gave no answer.
        last: What the last of them gave.
        fallback: Record of the submission that is not in its bucket.
    """

    parsed: identity.ParsedId
    request: forwarding.ForwardedRequest
    tried: dict[str, codes.ResultCode] = dataclasses.field(default_factory=dict)
    last: codes.ResultCode = codes.ResultCode.OWNER_UNREACHABLE
    fallback: records.Record | None = None


class Resolver:
    """Finds who owns a submission now, and its answer."""

    def __init__(
        self,
        *,
        me: str,
        forwarder: forwarding.Forwarder,
        taker: takeover.TakeoverService,
        local: Local,
        fresh_id: Callable[[identity.ParsedId], Any],
    ) -> None:
        self.me = me
        self.forwarder = forwarder
        self.taker = taker
        self.local = local
        self.fresh_id = fresh_id

    async def resolve(
        self, search: Search, owner: identity.Incarnation
    ) -> answers.Answer:
        """Ask owner after owner, as the records name them.

        Args:
            search: The request.
            owner: Owner to ask first.

        Returns:
            The answer of whoever owns it, or that the outcome is unknown.
        """
        for _ in range(MAX_OWNERS):
            answer = await self.ask(search, owner)
            if answer is not None:
                return answer
            following = await self.look_up(search)
            match following:
                case answers.Answer():
                    return following
            owner = following
        return self.unknown(search, codes.ResultCode.OWNER_UNREACHABLE)

    async def ask(
        self, search: Search, owner: identity.Incarnation
    ) -> answers.Answer | None:
        """Ask one owner; none means that it has no answer to give."""
        name = records.format_owner(owner)
        if name == self.me:
            pending = self.local(search.parsed, search.request)
            search.last = codes.ResultCode.ID_EXPIRED
            search.tried[name] = search.last
            return None if pending is None else await pending
        reply = await self.forwarder.send(owner, search.request)
        match reply:
            case forwarding.Unreached():
                search.last = (
                    codes.ResultCode.OWNER_UNREACHABLE
                    if reply.sent
                    else codes.ResultCode.NOT_HANDED_OVER
                )
            case answers.Answer():
                if code_of(reply) != codes.ResultCode.OWNER_GONE:
                    return reply
                search.last = codes.ResultCode.OWNER_GONE
        search.tried[name] = search.last
        return None

    async def look_up(
        self, search: Search
    ) -> answers.Answer | identity.Incarnation:
        """Return the answer in the table, or the owner that it names."""
        finding = await self.taker.find(search.parsed)
        match finding:
            case lookups.NoRecord() if search.fallback is not None:
                return await self.from_record(search, search.fallback)
            case platform.Away() | lookups.NoRecord():
                return self.unknown(search, search.last)
            case lookups.EndedRecord() | lookups.StartedRecord():
                return await self.from_record(search, finding.record)
            case lookups.QueuedRecord():
                return await self.from_queued(search, finding)

    async def from_record(
        self, search: Search, record: records.Record
    ) -> answers.Answer | identity.Incarnation:
        """Answer from a record that nobody takes over."""
        if record.state is records.RecordState.DONE:
            return await self.recorded(search, record)
        if record.owner in search.tried:
            return self.unknown(search, codes.ResultCode.IN_DOUBT)
        return records.parse_owner(record.owner)

    async def from_queued(
        self, search: Search, finding: lookups.QueuedRecord
    ) -> answers.Answer | identity.Incarnation:
        """Take over a queued record unless its owner may still answer."""
        owner = finding.record.owner
        if owner not in search.tried:
            return records.parse_owner(owner)
        if owner == self.me:
            return self.unknown(search, codes.ResultCode.END_NOT_RECORDED)
        await self.taker.adopt(finding.row)
        search.tried.pop(self.me, None)
        return records.parse_owner(self.me)

    async def recorded(
        self, search: Search, record: records.Record
    ) -> answers.Answer:
        """Answer with a recorded outcome."""
        if record.digest != record_digest(search, record):
            return self.unknown(search, codes.ResultCode.ID_REUSED)
        outcome = await self.taker.outcome(record)
        match outcome:
            case platform.Away():
                return self.unknown(search, codes.ResultCode.OWNER_UNREACHABLE)
        return answers.of_outcome(
            outcome,
            submission_id=search.request.submission_id,
            next_submission_id=self.fresh_id(search.parsed),
        )

    def unknown(self, search: Search, code: codes.ResultCode) -> answers.Answer:
        """Answer without an outcome."""
        return answers.plain(
            code,
            submission_id=search.request.submission_id,
            next_submission_id=self.fresh_id(search.parsed),
        )


def code_of(answer: answers.Answer) -> int:
    """Return the result code of an encoded answer; 0 if it has none."""
    try:
        return msgspec.json.decode(answer.body, type=CodeBody).code
    except msgspec.DecodeError:
        return 0


def record_digest(search: Search, record: records.Record) -> str:
    """Return the digest that a request must have to get the outcome."""
    if search.request.method is not forwarding.Method.SUBMIT:
        return record.digest
    return search.request.digest or record.digest
