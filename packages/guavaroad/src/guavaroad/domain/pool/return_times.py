"""When clients whose jobs were refused should come back.

Answers the second wave of a burst: clients that are told the same time return
together and are refused together. Each refused job books a time of its own, one
after another at the rate at which room becomes free, so that they return spread
and the order of arrival is kept. Who returns after a refusal is preferred, so
that nobody is refused for ever.
"""

from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import admission, values

# Refused jobs that are remembered; the oldest are forgotten first.
MAX_REMEMBERED: Final = 4096
# Beyond the longest hint, returns are spread over this last part of it.
_SPREAD_SHARE: Final = 0.5
_LONGEST_S: Final = admission.MAX_RETRY_AFTER_MS / units.MS_PER_S


class ReturnTimes:
    """Booked returns of the refused jobs of one pool.

    Attributes:
        next_s: Time of the next free return, by urgency, in seconds.
        refused: Recently refused jobs, in order.
    """

    def __init__(self) -> None:
        self.next_s: dict[int, float] = {}
        self.refused: dict[values.JobId, None] = {}

    def book(
        self,
        *,
        urgency: int,
        core_s: float,
        wait_s: float,
        spare_cores: float,
        jitter: float,
        now_s: float,
    ) -> float:
        """Book a return and return the time until then, in seconds.

        Args:
            urgency: Urgency of the refused job.
            core_s: Its estimated work, in core-seconds.
            wait_s: Expected wait for a start now, in seconds.
            spare_cores: Cores that are left for returning jobs.
            jitter: Random number between 0 and 1.
            now_s: Current time, in seconds.
        """
        first_s = now_s + min(wait_s, _LONGEST_S)
        booked_s = max(self.next_s.get(urgency, 0), first_s)
        step_s = core_s / spare_cores if spare_cores > 0 else _LONGEST_S
        self.next_s[urgency] = min(booked_s + step_s, now_s + _LONGEST_S)
        until_s = booked_s - now_s
        if until_s + step_s >= _LONGEST_S:
            return _LONGEST_S * (1 - _SPREAD_SHARE * jitter)
        return until_s + step_s * jitter

    def remember(self, job_id: values.JobId) -> None:
        """Remember a refused job."""
        self.refused.pop(job_id, None)
        self.refused[job_id] = None
        if len(self.refused) > MAX_REMEMBERED:
            self.refused.pop(next(iter(self.refused)))

    def has_returned(self, job_id: values.JobId) -> bool:
        """Return whether a job was refused before; forget it."""
        if job_id not in self.refused:
            return False
        self.refused.pop(job_id)
        return True
