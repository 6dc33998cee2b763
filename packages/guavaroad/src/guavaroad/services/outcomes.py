"""The owner's book of submissions: who waits, and the outcomes kept."""

import collections
import dataclasses
from typing import Final

from twisted.internet import defer

from guavaroad.domain import jobs, names
from guavaroad.domain.submissions import records, submission
from guavaroad.services import (
    answers,
    requests,
)

KEPT_BYTES: Final = 67_108_864
_ENTRY_BYTES: Final = 512

Told = jobs.JobOutcome | answers.Answer


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """One submission that was taken.

    Attributes:
        digest: Hash of the request body.
        sequence: Number of the id if this incarnation minted it, else 0.
        request: The request, until the end.
        job: The submission, until the end.
        ending: How it ended, while the row does not say so yet.
        outcome: How it ended; none while it runs.
        moved: Record of another instance that owns it, if one does.
        waiters: Calls that wait for the outcome.
        accepted: Calls that wait for the record.
    """

    digest: str
    sequence: int = 0
    request: requests.SubmitRequest | None = None
    job: submission.Submission | None = None
    ending: jobs.JobOutcome | None = None
    outcome: jobs.JobOutcome | None = None
    moved: records.Record | None = None
    waiters: 'list[defer.Deferred[Told]]' = dataclasses.field(
        default_factory=list
    )
    accepted: 'list[defer.Deferred[bool]]' = dataclasses.field(
        default_factory=list
    )

    def wait(self) -> 'defer.Deferred[Told]':
        """Return a Deferred that fires with the outcome."""
        if self.outcome is not None:
            return defer.succeed(self.outcome)
        waiter: defer.Deferred[Told] = defer.Deferred(self.leave)
        self.waiters.append(waiter)
        return waiter

    def wait_accepted(self) -> 'defer.Deferred[bool]':
        """Return a Deferred that tells if it was recorded before the end."""
        waiter: defer.Deferred[bool] = defer.Deferred()
        self.accepted.append(waiter)
        return waiter

    def leave(self, waiter: 'defer.Deferred[Told]') -> None:
        """Forget a waiter that was cancelled."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def recorded(self, *, before_end: bool) -> None:
        """Tell those who wait for the record."""
        accepted = self.accepted.copy()
        self.accepted.clear()
        for waiter in accepted:
            waiter.callback(before_end)

    def tell(self, told: Told) -> None:
        """Answer everyone who waits."""
        waiters = self.waiters.copy()
        self.waiters.clear()
        for waiter in waiters:
            waiter.callback(told)
        self.recorded(before_end=False)


class OutcomeCache:
    """Entries by submission id; ended ones are dropped oldest first.

    Attributes:
        horizon: Greatest sequence whose outcome was dropped.  An id at or
            below it without an entry may have run.
    """

    def __init__(
        self, *, kept_outcomes: int, kept_bytes: int = KEPT_BYTES
    ) -> None:
        self.kept_outcomes = kept_outcomes
        self.kept_bytes = kept_bytes
        self.entries: dict[names.SubmissionId, Entry] = {}
        self.ended: collections.deque[tuple[names.SubmissionId, int]] = (
            collections.deque()
        )
        self.size_bytes = 0
        self.horizon = 0

    def find(self, submission_id: names.SubmissionId) -> Entry | None:
        """Return the entry of an id, if one is kept."""
        return self.entries.get(submission_id)

    def open_count(self) -> int:
        """Return the submissions that have not ended."""
        return len(self.entries) - len(self.ended)

    def open(self, submission_id: names.SubmissionId, entry: Entry) -> Entry:
        """Add an entry for a submission that was just taken."""
        self.entries[submission_id] = entry
        return entry

    def close(
        self, submission_id: names.SubmissionId, outcome: jobs.JobOutcome
    ) -> None:
        """Keep the outcome and answer all who wait for it."""
        entry = self.entries.get(submission_id)
        if entry is None or entry.outcome is not None:
            return
        entry.outcome = outcome
        entry.request = None
        entry.job = None
        entry.tell(outcome)
        size = size_of(outcome)
        self.size_bytes += size
        self.ended.append((submission_id, size))
        self.drop_oldest()

    def close_moved(
        self, submission_id: names.SubmissionId, record: records.Record
    ) -> None:
        """Keep only that another instance owns the submission."""
        entry = self.entries.get(submission_id)
        if entry is None or entry.moved is not None:
            return
        entry.moved = record
        entry.job = None
        self.size_bytes += _ENTRY_BYTES
        self.ended.append((submission_id, _ENTRY_BYTES))
        self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the oldest outcomes until both bounds hold."""
        while self.ended and self.over():
            submission_id, size = self.ended.popleft()
            self.size_bytes -= size
            self.drop(submission_id)

    def drop(self, submission_id: names.SubmissionId) -> None:
        """Drop one entry, unless the submission runs here again."""
        entry = self.entries.get(submission_id)
        if entry is None or not (entry.outcome or entry.moved):
            return
        self.entries.pop(submission_id)
        self.horizon = max(self.horizon, entry.sequence)

    def over(self) -> bool:
        """Return whether a bound is exceeded."""
        too_many = len(self.ended) > self.kept_outcomes
        return too_many or self.size_bytes > self.kept_bytes

    def describe(self) -> dict[str, int]:
        """Return the state for the dump."""
        return {
            'open': self.open_count(),
            'ended': len(self.ended),
            'bytes': self.size_bytes,
            'horizon': self.horizon,
        }


def size_of(outcome: jobs.JobOutcome) -> int:
    """Return about how many bytes an outcome takes.

    Args:
        outcome: Outcome to keep.

    Returns:
        Bytes of its answers or task reports.
    """
    match outcome:
        case jobs.JobCompleted():
            return _ENTRY_BYTES + sum(map(len, map(bytes, outcome.answers)))
    return _ENTRY_BYTES * (1 + len(outcome.tasks))
