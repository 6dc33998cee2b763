"""When one instance sends another the configuration that it lacks.

Answers the load pattern in which the configuration is large: sent to everyone
at each heartbeat it fills the link, and heartbeats wait behind it. While the
store is well each instance reads it there; only one that lags is sent it.
"""

from typing import Final

from guavaroad.domain.pool import values

# The store brings a version to everyone within some 100 ms; who has not got it
# after this time does not reach the store, in seconds. It must be in force
# after two.
PATIENCE_S: Final = 0.35
# Pause before a configuration is sent again, in seconds.
AGAIN_S: Final = 1.0
_NOT_LAGGING: Final = (float(0), -1)


class ResendBackoff:
    """Follows who lags behind, since when.

    Attributes:
        due: When an instance that lags is sent the configuration next, and the
            version that it lacks.
    """

    def __init__(self) -> None:
        self.due: dict[values.InstanceName, tuple[float, int]] = {}

    def is_due(
        self,
        name: values.InstanceName,
        *,
        has: int,
        newest: int,
        now_s: float,
    ) -> bool:
        """Return whether to send an instance the configuration now.

        Args:
            name: The instance.
            has: Version that it serves; negative for none.
            newest: Version in force here.
            now_s: Time.
        """
        if has >= newest:
            self.due.pop(name, None)
            return False
        due_s, version = self.due.get(name, _NOT_LAGGING)
        if version != newest:
            due_s = now_s + patience_s(has)
        is_due = now_s >= due_s
        if is_due:
            due_s = now_s + AGAIN_S
        self.due[name] = (due_s, newest)
        return is_due


def patience_s(has: int) -> float:
    """Return how long an instance is left to the store.

    One without any configuration can't serve at all.

    Args:
        has: Version that it serves; negative for none.
    """
    return 0 if has < 0 else PATIENCE_S
