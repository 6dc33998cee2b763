"""Submissions under a key that the client chose.

Such a key names no owner.  Its row is therefore inserted by compare-and-set
before any task starts, and the instance that inserts it is the owner.
"""

import collections
from collections.abc import Callable
from typing import Final

import xxhash
from twisted.internet import defer

from guavaroad.domain import codes, identity, jobs, names
from guavaroad.domain.submissions import records
from guavaroad.services import (
    answers,
    forwarding,
    outcomes,
    requests,
)
from guavaroad.services.owning import (
    minting,
    ownership,
)

MAX_KEYS: Final = 100_000

Pending = defer.Deferred[answers.Answer]
Join = Callable[[identity.ParsedId, outcomes.Entry], Pending]
Relay = Callable[
    [identity.ParsedId, forwarding.ForwardedRequest, records.Record], Pending
]


class KeyedSubmissions:
    """Inserts the rows of client-chosen keys.

    Attributes:
        ids: Id assigned to each key here.  The oldest are evicted first; the
            rows still answer for them.
    """

    def __init__(
        self,
        *,
        minter: minting.Minter,
        owner: ownership.SubmissionOwner,
        relay: Relay,
    ) -> None:
        self.minter = minter
        self.owner = owner
        self.relay = relay
        self.ids: collections.OrderedDict[str, identity.ParsedId] = (
            collections.OrderedDict()
        )

    def submit(
        self,
        request: requests.SubmitRequest,
        join: Join,
        refusal: jobs.JobNotCompleted | None,
    ) -> Pending:
        """Run a submission once its key is inserted, or join its run.

        Args:
            request: The submission.
            join: Waits for the outcome of an entry.
            refusal: Refusal of any new submission, if there is one.

        Returns:
            A Deferred that fires with the answer.
        """
        row_key = row_key_of(request.team, request.key)
        parsed = self.ids.get(row_key)
        entry = self.find_entry(parsed)
        if not self.owner.recorder.available and entry is None:
            return defer.succeed(
                answers.plain(codes.ResultCode.KEY_NOT_CHECKED)
            )
        if entry is None or parsed is None:
            parsed, entry = self.insert(request, row_key, refusal)
            return join(parsed, entry)
        if entry.digest != request.digest():
            return defer.succeed(answers.plain(codes.ResultCode.ID_REUSED))
        if entry.moved is not None:
            return self.relay(
                parsed, to_forwarded_request(request, entry.moved), entry.moved
            )
        return join(parsed, entry)

    def find_entry(
        self, parsed: identity.ParsedId | None
    ) -> outcomes.Entry | None:
        """Return the entry of a repeated key; none after KEY_NOT_CHECKED."""
        if parsed is None:
            return None
        entry = self.owner.outcome_cache.find(identity.format_id(parsed))
        match entry:
            case outcomes.Entry(
                outcome=jobs.JobNotCompleted(
                    code=codes.ResultCode.KEY_NOT_CHECKED
                )
            ):
                return None
        return entry

    def insert(
        self,
        request: requests.SubmitRequest,
        row_key: str,
        refusal: jobs.JobNotCompleted | None,
    ) -> tuple[identity.ParsedId, outcomes.Entry]:
        """Schedule the row of a key.

        A refusal is written into the row as well: the key may have run
        elsewhere, and only the row shows that.
        """
        parsed = self.minter.mint_parsed(request.team)
        checked = refusal or self.owner.checker.check(
            identity.format_id(parsed), request
        )
        self.ids[row_key] = parsed
        if len(self.ids) > MAX_KEYS:
            self.ids.popitem(last=False)
        return parsed, self.owner.run_inserted(
            parsed, request, checked, row_key
        )


def row_key_of(team: names.TeamName, key: str) -> str:
    """Return the key of the row of a client-chosen key."""
    return f'keys/{team}/{xxhash.xxh3_128_hexdigest(key.encode())}'


def to_forwarded_request(
    request: requests.SubmitRequest, record: records.Record
) -> forwarding.ForwardedRequest:
    """Return a submission under the id that its key has elsewhere."""
    return forwarding.ForwardedRequest(
        method=forwarding.Method.SUBMIT,
        submission_id=record.submission_id,
        authorization=request.authorization,
        job=request.job,
        body=request.body,
        digest=request.digest(),
    )
