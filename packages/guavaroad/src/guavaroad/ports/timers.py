"""The timer service: the only source of time for every part."""

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A pending call or subscription."""

    def cancel(self) -> None:
        """Cancel it; cancelling an ended timer does nothing."""


class TimerService(Protocol):
    """Clock and calls that parts subscribe to."""

    def now(self) -> float:
        """Return monotonic seconds, for durations and deadlines."""

    def wall(self) -> float:
        """Return wall-clock seconds since 1970, for ids and logs only."""

    def call_after(
        self, delay_s: float, callback: Callable[[], object]
    ) -> Timer:
        """Call back once.

        Args:
            delay_s: Seconds from now.
            callback: Called without arguments.

        Returns:
            The pending call.
        """

    def subscribe(
        self, period_s: float, callback: Callable[[], object]
    ) -> Timer:
        """Call back again and again.

        Args:
            period_s: Seconds between calls; the first comes after one period.
            callback: Called without arguments.

        Returns:
            The subscription.
        """
