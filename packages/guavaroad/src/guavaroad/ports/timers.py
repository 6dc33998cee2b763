"""Timer service, the only source of time for all components."""

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """Pending call or subscription."""

    def cancel(self) -> None:
        """Cancel the timer; has no effect if it has ended."""


class TimerService(Protocol):
    """Clock and scheduled calls."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return the wall-clock time in seconds since 1970.

        It may jump, so it is meant for ids and logs only.
        """

    def call_after(
        self, delay_s: float, callback: Callable[[], object]
    ) -> Timer:
        """Schedule a single call.

        Args:
            delay_s: Delay in seconds.
            callback: Called without arguments.

        Returns:
            The pending call.
        """

    def subscribe(
        self, period_s: float, callback: Callable[[], object]
    ) -> Timer:
        """Schedule periodic calls.

        Args:
            period_s: Seconds between calls and before the first one.
            callback: Called without arguments.

        Returns:
            The subscription.
        """
