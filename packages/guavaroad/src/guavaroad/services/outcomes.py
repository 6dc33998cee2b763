"""The owner's submissions: waiting requests, and a cache of outcomes."""

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

MAX_KEPT_BYTES: Final = 67_108_864
_ENTRY_BYTES: Final = 512

Result = jobs.JobOutcome | answers.Answer


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """One submission of the cache.

    Attributes:
        digest: Hash of the request body.
        sequence: Number of the id if this incarnation minted it, else 0.
        request: The request, until the end.
        job: The submission, until the end.
        ending: Outcome whose record is not written yet.
        outcome: Outcome; none until it may be reported.
        moved: Record of another instance that owns it, if one does.
        waiters: Deferreds that wait for the outcome.
        record_waiters: Deferreds that wait for the record.
    """

    digest: str
    sequence: int = 0
    request: requests.SubmitRequest | None = None
    job: submission.Submission | None = None
    ending: jobs.JobOutcome | None = None
    outcome: jobs.JobOutcome | None = None
    moved: records.Record | None = None
    waiters: 'list[defer.Deferred[Result]]' = dataclasses.field(
        default_factory=list
    )
    record_waiters: 'list[defer.Deferred[bool]]' = dataclasses.field(
        default_factory=list
    )

    def wait(self) -> 'defer.Deferred[Result]':
        """Return a Deferred that fires with the outcome."""
        if self.outcome is not None:
            return defer.succeed(self.outcome)
        waiter: defer.Deferred[Result] = defer.Deferred(self.remove_waiter)
        self.waiters.append(waiter)
        return waiter

    def wait_recorded(self) -> 'defer.Deferred[bool]':
        """Return a Deferred of whether it is recorded before its end."""
        waiter: defer.Deferred[bool] = defer.Deferred()
        self.record_waiters.append(waiter)
        return waiter

    def remove_waiter(self, waiter: 'defer.Deferred[Result]') -> None:
        """Remove a cancelled waiter."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def notify_recorded(self, *, before_end: bool) -> None:
        """Notify those that wait for the record."""
        waiters = self.record_waiters.copy()
        self.record_waiters.clear()
        for waiter in waiters:
            waiter.callback(before_end)

    def notify(self, result: Result) -> None:
        """Pass a result to everyone who waits."""
        waiters = self.waiters.copy()
        self.waiters.clear()
        for waiter in waiters:
            waiter.callback(result)
        self.notify_recorded(before_end=False)


class OutcomeCache:
    """Entries by submission id; ended ones are evicted oldest first.

    Attributes:
        horizon: Greatest sequence whose outcome was evicted.  An id at or
            below it without an entry may have run.
    """

    def __init__(
        self, *, kept_outcomes: int, kept_bytes: int = MAX_KEPT_BYTES
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
        """Return the number of submissions that have not ended."""
        return len(self.entries) - len(self.ended)

    def open(self, submission_id: names.SubmissionId, entry: Entry) -> Entry:
        """Add the entry of a new submission."""
        self.entries[submission_id] = entry
        return entry

    def close(
        self, submission_id: names.SubmissionId, outcome: jobs.JobOutcome
    ) -> None:
        """Store the outcome and pass it to all waiting requests."""
        entry = self.entries.get(submission_id)
        if entry is None or entry.outcome is not None:
            return
        entry.outcome = outcome
        entry.request = None
        entry.job = None
        entry.notify(outcome)
        size = size_of(outcome)
        self.size_bytes += size
        self.ended.append((submission_id, size))
        self.evict_oldest()

    def close_moved(
        self, submission_id: names.SubmissionId, record: records.Record
    ) -> None:
        """Record that another instance owns the submission."""
        entry = self.entries.get(submission_id)
        if entry is None or entry.moved is not None:
            return
        entry.moved = record
        entry.job = None
        self.size_bytes += _ENTRY_BYTES
        self.ended.append((submission_id, _ENTRY_BYTES))
        self.evict_oldest()

    def evict_oldest(self) -> None:
        """Evict the oldest outcomes until both bounds hold."""
        while self.ended and self.is_over_bounds():
            submission_id, size = self.ended.popleft()
            self.size_bytes -= size
            self.evict(submission_id)

    def evict(self, submission_id: names.SubmissionId) -> None:
        """Evict one entry, unless the submission runs here again."""
        entry = self.entries.get(submission_id)
        if entry is None or not (entry.outcome or entry.moved):
            return
        self.entries.pop(submission_id)
        self.horizon = max(self.horizon, entry.sequence)

    def is_over_bounds(self) -> bool:
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
    """Return the approximate size of an outcome.

    Args:
        outcome: The outcome.

    Returns:
        Size of its answers or task reports, bytes.
    """
    match outcome:
        case jobs.JobCompleted():
            return _ENTRY_BYTES + sum(map(len, map(bytes, outcome.answers)))
    return _ENTRY_BYTES * (1 + len(outcome.tasks))
