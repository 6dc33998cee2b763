"""The event loop, on a clock that no change of the time of day moves."""

import time

from twisted.internet import epollreactor


class SteadyReactor(epollreactor.EPollReactor):
    """Twisted's epoll reactor on the boot-time clock.

    Twisted uses the time of day.  When that jumps ahead, every lease and
    time-out appears to have passed, and tasks would be started again while they
    still run.  Unlike the monotonic clock, the boot-time clock also counts the
    time for which a machine is suspended, during which leases do lapse.
    """

    def seconds(self) -> float:
        """Return the time since the machine has started, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
