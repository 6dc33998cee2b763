"""A planned stop: the instance leaves the rotation and cuts no request."""

from collections.abc import Callable
from typing import Final, Protocol

from guavaroad.ports import timers
from guavaroad.services.pool import pool_instance

DEFAULT_GRACE_S: Final = 6.0
# The platform takes an instance out of rotation after two misses, a second
# apart; until then new connections come.
ROTATION_S: Final = 2.5
# The process ends this long before it would be killed, in seconds.
END_MARGIN_S: Final = 0.25
# What has no answer this long before it would be killed, in seconds, is told
# that it may have run.
ANSWER_MARGIN_S: Final = 0.4
CHECK_S: Final = 0.05


class ListenerPort(Protocol):
    """Connections of clients.

    Attributes:
        closing: Whether each connection ends with its next answer.
    """

    closing: bool

    def connection_count(self) -> int:
        """Return the number of open connections."""


class Drain:
    """Ends the process when nobody needs it any more, or its time is up.

    Attributes:
        begun_s: When the stop was asked for; none before.
    """

    def __init__(
        self,
        *,
        serving: pool_instance.PoolInstance,
        door: ListenerPort,
        timer_service: timers.TimerService,
        grace_s: float,
        on_end: Callable[[], object],
    ) -> None:
        self.node = serving
        self.door = door
        self.timers = timer_service
        self.grace_s = grace_s
        self.on_end = on_end
        self.begun_s: float | None = None

    def begin(self) -> None:
        """Hand over what others can do, and finish what is here."""
        if self.begun_s is not None:
            return
        self.begun_s = self.timers.now()
        self.node.journal.log_event(
            'stopping',
            open_jobs=len(self.node.job_owner.jobs),
            connections=self.door.connection_count(),
            allocates=self.node.active_allocator is not None,
        )
        self.door.closing = True
        self.node.stop(
            exit_deadline_s=self.begun_s + self.grace_s - ANSWER_MARGIN_S
        )
        self.timers.subscribe(CHECK_S, self.check)

    def check(self) -> None:
        """End if all is done, or the time is up."""
        if self.begun_s is None:
            return
        elapsed_s = self.timers.now() - self.begun_s
        is_idle = (
            not self.node.job_owner.jobs and not self.door.connection_count()
        )
        is_done = is_idle and elapsed_s > ROTATION_S
        if elapsed_s > self.grace_s - ANSWER_MARGIN_S:
            self.node.job_owner.end_all('instance stops')
        if is_done or elapsed_s > self.grace_s - END_MARGIN_S:
            self.node.journal.log_event(
                'stop_finished',
                open_jobs=len(self.node.job_owner.jobs),
                connections=self.door.connection_count(),
                elapsed_ms=int(elapsed_s * 1000),
            )
            self.on_end()
