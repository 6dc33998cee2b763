"""Polling of queued jobs whose hold ends without a callback."""

from collections.abc import Callable
from typing import Final

from guavaroad.domain.scheduling import job_queue
from guavaroad.ports import timers

CHECK_INTERVAL_S: Final = 0.02


class HoldMonitor:
    """Polls held jobs while any is queued; sets no timer otherwise."""

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        queue: job_queue.JobQueue,
        on_released: Callable[[], object],
    ) -> None:
        self.timers = timer_service
        self.queue = queue
        self.on_released = on_released
        self.check_scheduled = False

    def schedule_check(self) -> None:
        """Schedule a check if a held job is queued."""
        if self.queue.held and not self.check_scheduled:
            self.check_scheduled = True
            self.timers.call_after(CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        """Make the jobs whose hold has ended eligible to start."""
        self.check_scheduled = False
        if self.queue.rerank_released():
            self.on_released()
        self.schedule_check()
