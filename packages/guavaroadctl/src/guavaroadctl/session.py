"""What every command works with."""

import dataclasses
import sys

from twisted.internet import defer

from guavaroad.ports import timers
from guavaroadctl import connection, options


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """The means of one run of the program.

    Attributes:
        link: Way to the instances.
        timers: Timer service.
        options: The flags.
    """

    link: connection.Connection
    timers: timers.TimerService
    options: options.Options

    def pause(self, delay_s: float) -> 'defer.Deferred[None]':
        """Return what fires after a delay."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self.timers.call_after(delay_s, lambda: waiting.callback(None))
        return waiting

    def remaining_s(self, began_s: float) -> float:
        """Return what is left of the longest wait.

        Args:
            began_s: Monotonic time at which the wait began.

        Returns:
            Seconds, not below 0.
        """
        spent_s = self.timers.now() - began_s
        return max(0, self.options.timeout_s - spent_s)


def note(sentence: str) -> None:
    """Tell something beside the result, on standard error."""
    sys.stderr.write(f'guavaroadctl: {sentence}\n')
    sys.stderr.flush()
