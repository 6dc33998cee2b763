"""The owner's book of submissions: who waits, and the outcomes kept."""

import collections
import dataclasses

from twisted.internet import defer

from guavaroad.domain import jobs, names


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """One submission that was taken.

    Attributes:
        digest: Hash of the request body.
        outcome: How it ended; none while it runs.
        waiters: Calls that wait for the outcome.
    """

    digest: str
    outcome: jobs.JobOutcome | None = None
    waiters: 'list[defer.Deferred[jobs.JobOutcome]]' = dataclasses.field(
        default_factory=list
    )

    def wait(self) -> 'defer.Deferred[jobs.JobOutcome]':
        """Return a Deferred that fires with the outcome."""
        if self.outcome is not None:
            return defer.succeed(self.outcome)
        waiter: defer.Deferred[jobs.JobOutcome] = defer.Deferred()
        self.waiters.append(waiter)
        return waiter


class OutcomeBook:
    """Entries by submission id; ended ones are dropped oldest first."""

    def __init__(self, *, kept_outcomes: int) -> None:
        self.kept_outcomes = kept_outcomes
        self.entries: dict[names.SubmissionId, Entry] = {}
        self.ended: collections.deque[names.SubmissionId] = collections.deque()

    def find(self, submission_id: names.SubmissionId) -> Entry | None:
        """Return the entry of an id, if one is kept."""
        return self.entries.get(submission_id)

    def open_count(self) -> int:
        """Return the submissions that have not ended."""
        return len(self.entries) - len(self.ended)

    def open(self, submission_id: names.SubmissionId, digest: str) -> Entry:
        """Add an entry for a submission that was just taken."""
        entry = Entry(digest=digest)
        self.entries[submission_id] = entry
        return entry

    def close(
        self, submission_id: names.SubmissionId, outcome: jobs.JobOutcome
    ) -> None:
        """Keep the outcome and answer all who wait for it."""
        entry = self.entries[submission_id]
        entry.outcome = outcome
        waiters = entry.waiters.copy()
        entry.waiters.clear()
        for waiter in waiters:
            waiter.callback(outcome)
        self.ended.append(submission_id)
        while len(self.ended) > self.kept_outcomes:
            self.entries.pop(self.ended.popleft(), None)
