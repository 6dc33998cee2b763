"""How recently closed jobs ended.

Guards against the loss of the final message with a link. The owner then
declares the job again and is sent its result; otherwise the job would be
refused as not run, or run a second time.
"""

import dataclasses
from typing import Final

from guavaroad.domain.pool import messages, values

# Minimum retention of a result, in seconds. A link is declared lost and
# re-established within 0.7 s, and clients send a job again after 1.3 s.
RETENTION_S: Final = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Complete:
    """All tasks of the job succeeded."""


Ending = Complete | messages.GivenUp


class ClosedJobs:
    """Results in two generations; the older one is dropped in one step.

    Attributes:
        recent: Results recorded since the last rotation.
        older: Results of the generation before.
        rotated_s: Time of the last rotation.
        complete_since_s: Every result recorded since then is retained.
    """

    def __init__(self, *, now_s: float) -> None:
        self.recent: dict[values.JobId, Ending] = {}
        self.older: dict[values.JobId, Ending] = {}
        self.rotated_s = now_s
        self.complete_since_s = now_s

    def record(self, job_id: values.JobId, ending: Ending) -> None:
        """Record how a job ended."""
        self.recent[job_id] = ending

    def find(self, job_id: values.JobId) -> Ending | None:
        """Return how a job ended, or None if it is not retained."""
        return self.recent.get(job_id) or self.older.get(job_id)

    def covers(self, since_s: float) -> bool:
        """Return whether no result recorded since a time was dropped.

        Only then does the lack of a result show that a job has none.

        Args:
            since_s: The time, in seconds.
        """
        return since_s >= self.complete_since_s

    def expire(self, now_s: float) -> None:
        """Drop the results whose retention has ended."""
        if now_s - self.rotated_s >= RETENTION_S:
            self.complete_since_s = self.rotated_s
            self.rotated_s = now_s
            self.older = self.recent
            self.recent = {}
