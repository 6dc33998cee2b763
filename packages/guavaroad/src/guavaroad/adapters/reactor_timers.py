"""Timer service on a Twisted clock, which is the reactor or a test clock."""

import dataclasses
import time
from collections.abc import Callable
from typing import Any, Final

from twisted.internet import task

from guavaroad.ports import logs, timers

_log: Final = logs.logger_of('timers')


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingCall:
    """A call scheduled on the clock."""

    call: Any

    def cancel(self) -> None:
        """Cancel the call unless it has run."""
        if self.call.active():
            self.call.cancel()


@dataclasses.dataclass(slots=True, kw_only=True)
class Subscription:
    """A periodic call.

    Attributes:
        loop: Twisted loop that makes the calls.
        period_s: Period, in seconds.
    """

    loop: task.LoopingCall
    period_s: float

    def start(self) -> None:
        """Start the loop, or restart it after a failed call."""
        self.loop.start(self.period_s, now=False).addErrback(self.on_failure)

    def on_failure(self, failure: Any) -> None:
        """Log the failure and restart the loop, which a failure stops."""
        _log.opt(exception=failure.value).error(
            'periodic call failed: {}', failure.getErrorMessage()
        )
        self.start()

    def cancel(self) -> None:
        """Stop the periodic call."""
        if self.loop.running:
            self.loop.stop()


class ReactorTimers:
    """Timer service on any `IReactorTime`."""

    def __init__(
        self,
        *,
        clock: Any,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.clock = clock
        self.wall_clock = wall_clock

    def now(self) -> float:
        """Return the time of the clock, in seconds."""
        return float(self.clock.seconds())

    def wall(self) -> float:
        """Return the wall-clock time, in seconds since the Unix epoch."""
        return self.wall_clock()

    def call_after(
        self, delay_s: float, callback: Callable[[], object]
    ) -> timers.Timer:
        """Call `callback` once after `delay_s` seconds."""
        return PendingCall(call=self.clock.callLater(delay_s, callback))

    def subscribe(
        self, period_s: float, callback: Callable[[], object]
    ) -> timers.Timer:
        """Call `callback` every `period_s` seconds."""
        loop = task.LoopingCall(callback)
        loop.clock = self.clock
        subscription = Subscription(loop=loop, period_s=period_s)
        subscription.start()
        return subscription
