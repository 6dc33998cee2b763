"""Answers for submissions of other owners: forward, look up, take over."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

import msgspec
from twisted.internet import defer

from guavaroad.domain import codes, identity, json_input
from guavaroad.domain.submissions import lookups, records
from guavaroad.ports import platform
from guavaroad.services import (
    answers,
    forwarding,
    takeover,
)

MAX_QUERIED_OWNERS: Final = 4

Pending = defer.Deferred[answers.Answer]
LocalAnswer = Callable[
    [identity.ParsedId, forwarding.ForwardedRequest], Pending | None
]


class CodeBody(msgspec.Struct, frozen=True):
    """The code of a relayed answer."""

    code: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnerSearch:
    """Progress of a request while its owner is searched.

    Attributes:
        parsed: Parsed submission id.
        request: The request.
        tried: Result code by owner that gave no answer.
        last: Result code of the last of them.
        fallback: Record of the submission that is not in its bucket.
    """

    parsed: identity.ParsedId
    request: forwarding.ForwardedRequest
    tried: dict[str, codes.ResultCode] = dataclasses.field(default_factory=dict)
    last: codes.ResultCode = codes.ResultCode.OWNER_UNREACHABLE
    fallback: records.Record | None = None


class Resolver:
    """Finds the present owner of a submission, and its answer."""

    def __init__(
        self,
        *,
        own_name: str,
        forwarder: forwarding.Forwarder,
        takeover_service: takeover.TakeoverService,
        answer_locally: LocalAnswer,
        fresh_id: Callable[[identity.ParsedId], Any],
    ) -> None:
        self.own_name = own_name
        self.forwarder = forwarder
        self.takeover_service = takeover_service
        self.answer_locally = answer_locally
        self.fresh_id = fresh_id

    async def resolve(
        self, search: OwnerSearch, owner: identity.Incarnation
    ) -> answers.Answer:
        """Query the owners that the records name, one after another.

        Args:
            search: The request.
            owner: Owner to query first.

        Returns:
            The answer of the owner, or an answer with an unknown outcome.
        """
        for _ in range(MAX_QUERIED_OWNERS):
            answer = await self.query(search, owner)
            if answer is not None:
                return answer
            found = await self.look_up(search)
            match found:
                case answers.Answer():
                    return found
            owner = found
        return self.answer_without_outcome(
            search, codes.ResultCode.OWNER_UNREACHABLE
        )

    async def query(
        self, search: OwnerSearch, owner: identity.Incarnation
    ) -> answers.Answer | None:
        """Query one owner; none means that it has no answer."""
        name = records.format_owner(owner)
        if name == self.own_name:
            pending = self.answer_locally(search.parsed, search.request)
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
        self, search: OwnerSearch
    ) -> answers.Answer | identity.Incarnation:
        """Return the answer in the table, or the owner that it names."""
        finding = await self.takeover_service.find(search.parsed)
        match finding:
            case lookups.NoRecord() if search.fallback is not None:
                return await self.resolve_record(search, search.fallback)
            case platform.Away() | lookups.NoRecord():
                return self.answer_without_outcome(search, search.last)
            case lookups.EndedRecord() | lookups.StartedRecord():
                return await self.resolve_record(search, finding.record)
            case lookups.QueuedRecord():
                return await self.resolve_queued(search, finding)

    async def resolve_record(
        self, search: OwnerSearch, record: records.Record
    ) -> answers.Answer | identity.Incarnation:
        """Answer from a record that is not taken over."""
        if record.state is records.RecordState.DONE:
            return await self.answer_with_outcome(search, record)
        if record.owner in search.tried:
            return self.answer_without_outcome(
                search, codes.ResultCode.IN_DOUBT
            )
        return records.parse_owner(record.owner)

    async def resolve_queued(
        self, search: OwnerSearch, finding: lookups.QueuedRecord
    ) -> answers.Answer | identity.Incarnation:
        """Take over a queued record unless its owner may still answer."""
        owner = finding.record.owner
        if owner not in search.tried:
            return records.parse_owner(owner)
        if owner == self.own_name:
            return self.answer_without_outcome(
                search, codes.ResultCode.END_NOT_RECORDED
            )
        await self.takeover_service.adopt(finding.row)
        search.tried.pop(self.own_name, None)
        return records.parse_owner(self.own_name)

    async def answer_with_outcome(
        self, search: OwnerSearch, record: records.Record
    ) -> answers.Answer:
        """Answer with a recorded outcome."""
        if record.digest != record_digest(search, record):
            return self.answer_without_outcome(
                search, codes.ResultCode.ID_REUSED
            )
        outcome = await self.takeover_service.outcome(record)
        match outcome:
            case platform.Away():
                return self.answer_without_outcome(
                    search, codes.ResultCode.OWNER_UNREACHABLE
                )
        return answers.of_outcome(
            outcome,
            submission_id=search.request.submission_id,
            next_submission_id=self.fresh_id(search.parsed),
        )

    def answer_without_outcome(
        self, search: OwnerSearch, code: codes.ResultCode
    ) -> answers.Answer:
        """Answer without an outcome."""
        return answers.plain(
            code,
            submission_id=search.request.submission_id,
            next_submission_id=self.fresh_id(search.parsed),
        )


def code_of(answer: answers.Answer) -> int:
    """Return the result code of an encoded answer; 0 if it has none."""
    body = json_input.decode(answer.body, CodeBody)
    return 0 if isinstance(body, json_input.Malformed) else body.code


def record_digest(search: OwnerSearch, record: records.Record) -> str:
    """Return the digest that a request must have to get the outcome."""
    if search.request.method is not forwarding.Method.SUBMIT:
        return record.digest
    return search.request.digest or record.digest
