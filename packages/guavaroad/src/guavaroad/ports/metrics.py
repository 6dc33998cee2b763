"""Interface for recording metrics, independent of their export."""

from typing import Protocol


class MetricsPort(Protocol):
    """Records metric events.  The methods are cheap and never raise."""

    def request_answered(self, code: int, seconds: float) -> None:
        """Record an answered request.

        Args:
            code: Result code of the answer; 0 if it has none.
            seconds: Time from the receipt of the full request to the answer.
        """

    def tasks_queued(self, count: int) -> None:
        """Record admitted tasks.

        Args:
            count: Number of tasks of one submission.
        """

    def attempt_started(self) -> None:
        """Record that a task was sent to an upstream."""

    def attempt_ended(self, outcome: str, seconds: float) -> None:
        """Record the outcome of an attempt.

        Args:
            outcome: Type of the outcome.
            seconds: Time from sending the task to the outcome.
        """

    def platform_called(self, outcome: str, seconds: float) -> None:
        """Record a call to the platform.

        Args:
            outcome: Type of the outcome.
            seconds: Time from the call to the outcome.
        """

    def loop_lagged(self, seconds: float) -> None:
        """Record one sample of the event loop lag.

        Args:
            seconds: Delay of a timer after its scheduled time.
        """
