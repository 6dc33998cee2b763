"""How recently closed jobs ended.

Guards against the loss of the final message with a link. The owner then
declares the job again and is sent its result; otherwise the job would be
refused as not run, or run a second time.
"""

import dataclasses
from typing import Final

from guavaroad.domain.pool import generations, messages, values

# Minimum retention of a result, in seconds. A link is declared lost and
# re-established within 0.7 s, and clients send a job again after 1.3 s.
RETENTION_S: Final = 2


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
    """How jobs ended, by their id."""

    def __init__(self, *, now_s: float) -> None:
        super().__init__(retention_s=RETENTION_S, now_s=now_s)
