"""The upstream side: hands one task to one upstream."""

import dataclasses
from typing import Protocol

from twisted.internet import defer

from guavaroad.domain import attempts, names
from guavaroad.domain.slots import upstream as upstream_facts

Upstream = upstream_facts.Upstream


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One task on its way to one upstream.

    Attributes:
        submission_id: Submission of the task.
        index: Position of the task.
        job: Job name, for the upstream.
        payload: Encoded JSON.
    """

    submission_id: names.SubmissionId
    index: names.TaskIndex
    job: names.JobName
    payload: bytes


class UpstreamPort(Protocol):
    """Starts tasks."""

    def start(
        self, upstream: Upstream, attempt: Attempt
    ) -> 'defer.Deferred[attempts.AttemptOutcome]':
        """Hand a task over, once.

        Args:
            upstream: Where to.
            attempt: The task.

        Returns:
            Fires with the outcome; never fails.
        """
