"""How recently closed jobs ended.

Guards against the loss of the final message with a link. The owner then
declares the job again and is sent its result; otherwise the job would be
refused as not run, or run a second time.
"""

import dataclasses
from typing import Final

from guavaroad.domain.pool import generations, id_filter, messages, values

# Minimum retention of a result, in seconds. A link is declared lost and
# re-established within 0.7 s, and clients send a job again after 1.3 s.
RETENTION_S: Final = 2
# Minimum retention of the ids of jobs that may have started, in seconds.
# Clients whose instance does not answer send a job again after their timeout.
STARTED_RETENTION_S: Final = 10


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Complete:
    """All tasks of the job succeeded."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Abandoned:
    """The job was given up.

    Attributes:
        owner: Owner of the attempt that was given up.
        given_up: What the owner was told.
    """

    owner: values.InstanceName
    given_up: messages.GivenUp


Ending = Complete | Abandoned


class ClosedJobs(generations.Generations[values.JobId, Ending]):
    """How jobs ended, by their id.

    Attributes:
        started: Jobs that have ended after they may have started.
        reported: Tasks whose run or end was reported while no owner had
            declared them: their jobs may be closed on the record of another
            allocator.
    """

    def __init__(self, *, now_s: float) -> None:
        super().__init__(retention_s=RETENTION_S, now_s=now_s)
        self.started = id_filter.IdFilter(
            retention_s=STARTED_RETENTION_S, now_s=now_s
        )
        self.reported = id_filter.IdFilter(
            retention_s=STARTED_RETENTION_S, now_s=now_s
        )

    def record(self, key: values.JobId, entry: Ending) -> None:
        """Record how a job ended."""
        super().record(key, entry)
        match entry:
            case (
                Complete()
                | Abandoned(given_up=messages.GivenUp(may_have_started=True))
            ):
                self.started.record(key)

    def expire(self, now_s: float) -> None:
        """Drop the entries whose retention has ended."""
        super().expire(now_s)
        self.started.expire(now_s)
        self.reported.expire(now_s)

    def clear_filters(self) -> None:
        """Free the memory of the filters, when the allocator has stopped."""
        self.started.clear()
        self.reported.clear()
