"""How jobs ended that were let go of a moment ago.

Answers the failure in which the word of an end is lost with a link: the owner
declares the job again and is told what became of it, where a new job would be
refused as not run, or run once more.
"""

import dataclasses
from typing import Final

from guavaroad.domain.pool import messages, values

# Ends are kept at least this long, in seconds: a link is given up and made
# anew within 0.7 s, and clients send a job again after 1.3 s.
KEPT_S: Final = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Complete:
    """Every task has ended well."""


Ending = Complete | messages.GivenUp


class ClosedJobs:
    """Ends in two generations, of which the older is dropped whole.

    Attributes:
        young: Ends since the last change of generations.
        old: Those of the generation before.
        changed_s: When the generations last changed.
    """

    def __init__(self, *, now_s: float) -> None:
        self.young: dict[values.JobId, Ending] = {}
        self.old: dict[values.JobId, Ending] = {}
        self.changed_s = now_s

    def keep(self, job_id: values.JobId, ending: Ending) -> None:
        """Keep how a job ended."""
        self.young[job_id] = ending

    def find(self, job_id: values.JobId) -> Ending | None:
        """Return how a job ended, if that is still known."""
        return self.young.get(job_id) or self.old.get(job_id)

    def forget(self, now_s: float) -> None:
        """Drop the ends that are old."""
        if now_s - self.changed_s >= KEPT_S:
            self.changed_s = now_s
            self.old = self.young
            self.young = {}
