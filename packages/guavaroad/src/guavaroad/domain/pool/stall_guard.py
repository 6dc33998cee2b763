"""Tells the silence of a peer from a pause of this process.

After a pause, timers run before the messages that have arrived meanwhile are
read, so every peer appears to have been silent.
"""

from typing import Final

# Interval between two checks above which this process was paused, in seconds.
# Checks run each 20 to 50 ms.
STALL_S: Final = 0.2


class StallGuard:
    """Skips the first check after a pause of this process.

    Attributes:
        checked_s: Time of the last check, in seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self.checked_s = now_s

    def is_on_time(self, now_s: float) -> bool:
        """Return whether peers may be checked now, and record the check.

        Args:
            now_s: Current time, in seconds.
        """
        since_s = now_s - self.checked_s
        self.checked_s = now_s
        return since_s < STALL_S
