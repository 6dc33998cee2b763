"""When an instance sends a peer the configuration version that it lacks.

Guards against a large configuration that fills the link and delays the
heartbeats behind it, as it would if it were sent at every heartbeat. While the
store is available each instance reads it there; only a peer that lags is sent
the configuration.
"""

from typing import Final

from guavaroad.domain.pool import values

# The store delivers a version to all instances within about 100 ms; an instance
# that lacks it after this time does not reach the store, in seconds. A version
# must be in force everywhere within 2 s.
STORE_READ_TIMEOUT_S: Final = 0.35
# Interval before a configuration is sent again, in seconds.
RESEND_INTERVAL_S: Final = 1.0
_NOT_LAGGING: Final = (float(0), -1)


class ResendBackoff:
    """Tracks the peers that lag and when to send to them next.

    Attributes:
        next_sends: Time of the next send and the version that is lacking, by
            instance.
    """

    def __init__(self) -> None:
        self.next_sends: dict[values.InstanceName, tuple[float, int]] = {}

    def is_due(
        self,
        name: values.InstanceName,
        *,
        served_version: int,
        newest_version: int,
        now_s: float,
    ) -> bool:
        """Return whether to send an instance the configuration now.

        Args:
            name: Name of the instance.
            served_version: Version that it serves; negative for none.
            newest_version: Version in force on this instance.
            now_s: Current time, in seconds.
        """
        if served_version >= newest_version:
            self.next_sends.pop(name, None)
            return False
        due_s, version = self.next_sends.get(name, _NOT_LAGGING)
        if version != newest_version:
            due_s = now_s + first_send_delay_s(served_version)
        is_due = now_s >= due_s
        if is_due:
            due_s = now_s + RESEND_INTERVAL_S
        self.next_sends[name] = (due_s, newest_version)
        return is_due


def first_send_delay_s(has: int) -> float:
    """Return how long an instance may take to read the store, in seconds.

    An instance without any configuration can't serve requests, so it is sent
    one at once.

    Args:
        has: Version that it serves; negative for none.
    """
    return 0 if has < 0 else STORE_READ_TIMEOUT_S
