"""The upstream side: hands one task to one upstream."""

import dataclasses
from typing import Protocol

from twisted.internet import defer

from guavaroad.domain import attempts, names


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One back end that runs tasks.

    Attributes:
        name: Unique name.
        availability_zone: Zone it is in.
        pool: Pool that jobs name.
        address: `ip:port` of its HTTP endpoint.
        slots: Tasks it runs at once.
        leaving: Whether the platform lists it as leaving.
    """

    name: names.UpstreamName
    availability_zone: names.AvailabilityZone
    pool: names.PoolName
    address: str
    slots: int
    leaving: bool = False


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
