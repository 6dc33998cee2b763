"""Context passed to every command."""

import dataclasses
import sys

from twisted.internet import defer

from guavaroad.ports import timers
from guavaroadctl import failover_client, options


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Client, timers and options of one program run.

    Attributes:
        client: HTTP client for the instances.
        timers: Timer service.
        options: Validated flags.
    """

    client: failover_client.FailoverClient
    timers: timers.TimerService
    options: options.Options

    def sleep(self, delay_s: float) -> 'defer.Deferred[None]':
        """Return a Deferred that fires after a delay in seconds."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self.timers.call_after(delay_s, lambda: waiting.callback(None))
        return waiting

    def remaining_s(self, start_s: float) -> float:
        """Return the time until `--timeout_s` expires.

        Args:
            start_s: Monotonic time at which the wait started, seconds.

        Returns:
            Seconds, at least 0.
        """
        elapsed_s = self.timers.now() - start_s
        return max(0, self.options.timeout_s - elapsed_s)


def print_notice(text: str) -> None:
    """Print a notice to standard error."""
    sys.stderr.write(f'guavaroadctl: {text}\n')
    sys.stderr.flush()
