"""Notices queued jobs whose hold was ended without a call."""

from collections.abc import Callable
from typing import Final

from guavaroad.domain.scheduling import job_queue
from guavaroad.ports import timers

CHECK_S: Final = 0.02


class HeldWatch:
    """Looks at held jobs while there are any; an idle loop sleeps on."""

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        queue: job_queue.JobQueue,
        freed: Callable[[], object],
    ) -> None:
        self.timers = timer_service
        self.queue = queue
        self.freed = freed
        self.due = False

    def look_soon(self) -> None:
        """Look again after `CHECK_S` if a held job is queued."""
        if self.queue.held and not self.due:
            self.due = True
            self.timers.call_after(CHECK_S, self.look)

    def look(self) -> None:
        """Queue the jobs whose hold has ended."""
        self.due = False
        if self.queue.rerank_released():
            self.freed()
        self.look_soon()
