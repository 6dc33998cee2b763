"""Interface for sending tasks to upstreams."""

import dataclasses
from typing import Protocol

from twisted.internet import defer

from guavaroad.domain import attempts, names
from guavaroad.domain.slots import upstream as upstream_facts

Upstream = upstream_facts.Upstream


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt to run a task at an upstream.

    Attributes:
        submission_id: Submission that the task belongs to.
        index: Position of the task in the submission.
        job: Job name, sent to the upstream.
        payload: JSON-encoded input.
    """

    submission_id: names.SubmissionId
    index: names.TaskIndex
    job: names.JobName
    payload: bytes


class UpstreamPort(Protocol):
    """Sends tasks to upstreams."""

    def start(
        self, upstream: Upstream, attempt: Attempt
    ) -> 'defer.Deferred[attempts.AttemptOutcome]':
        """Send a task to an upstream, at most once.

        Args:
            upstream: Target of the attempt.
            attempt: Task to send.

        Returns:
            A Deferred that fires with the outcome and never fails.
        """
