"""Graceful shutdown of an instance, without cutting off open requests."""

from collections.abc import Callable
from typing import Final, Protocol

from guavaroad.ports import timers
from guavaroad.services.pool import pool_instance

DEFAULT_GRACE_S: Final = 6.0
# Time until the platform sends no new connections, in seconds: it takes an
# instance out of rotation after two failed health checks, a second apart.
ROTATION_TIMEOUT_S: Final = 2.5
# The process exits this long before the platform would kill it, in seconds.
EXIT_MARGIN_S: Final = 0.25
# Jobs still open this long before the platform would kill the process, in
# seconds, are answered: with an unknown outcome if they may have run.
ANSWER_MARGIN_S: Final = 0.4
CHECK_INTERVAL_S: Final = 0.05


class ListenerPort(Protocol):
    """Connections of clients.

    Attributes:
        closing: Whether each connection closes after its next response.
    """

    closing: bool

    def connection_count(self) -> int:
        """Return the number of open connections."""


class Drain:
    """Ends the process when it is idle, or when the grace period is over.

    Attributes:
        started_s: When the drain started; none before.
    """

    def __init__(
        self,
        *,
        instance: pool_instance.PoolInstance,
        listener: ListenerPort,
        timer_service: timers.TimerService,
        grace_s: float,
        on_end: Callable[[], object],
    ) -> None:
        self.instance = instance
        self.listener = listener
        self.timers = timer_service
        self.grace_s = grace_s
        self.on_end = on_end
        self.started_s: float | None = None

    def begin(self) -> None:
        """Hand over the allocation, and start to close connections."""
        if self.started_s is not None:
            return
        self.started_s = self.timers.now()
        self.instance.decision_log.log_event(
            'stopping',
            open_jobs=len(self.instance.job_owner.jobs),
            connections=self.listener.connection_count(),
            allocates=self.instance.active_allocator is not None,
        )
        self.listener.closing = True
        self.instance.stop(
            exit_deadline_s=self.started_s + self.grace_s - ANSWER_MARGIN_S
        )
        self.timers.subscribe(CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        """End the process if it is idle or the grace period is over."""
        if self.started_s is None:
            return
        elapsed_s = self.timers.now() - self.started_s
        is_idle = (
            not self.instance.job_owner.jobs
            and not self.listener.connection_count()
        )
        is_done = is_idle and elapsed_s > ROTATION_TIMEOUT_S
        if elapsed_s > self.grace_s - ANSWER_MARGIN_S:
            self.instance.job_owner.finish_all('instance stops')
        if is_done or elapsed_s > self.grace_s - EXIT_MARGIN_S:
            self.instance.decision_log.log_event(
                'stop_finished',
                open_jobs=len(self.instance.job_owner.jobs),
                connections=self.listener.connection_count(),
                elapsed_ms=int(elapsed_s * 1000),
            )
            self.on_end()
