"""What the parts count and time, without a word on how it is shown."""

from typing import Protocol


class MetricsPort(Protocol):
    """Takes events; every method is cheap and never fails."""

    def request_answered(self, code: int, seconds: float) -> None:
        """Count an answered request.

        Args:
            code: Result code of the answer; 0 for a page without one.
            seconds: From the whole request to its answer.
        """

    def tasks_queued(self, count: int) -> None:
        """Count tasks that were taken.

        Args:
            count: Tasks of one submission.
        """

    def attempt_started(self) -> None:
        """Count a task handed to an upstream."""

    def attempt_ended(self, outcome: str, seconds: float) -> None:
        """Count the end of an attempt.

        Args:
            outcome: Kind of the outcome.
            seconds: From the hand-over to the outcome.
        """

    def platform_called(self, outcome: str, seconds: float) -> None:
        """Count a call of the platform.

        Args:
            outcome: Kind of the outcome.
            seconds: From the call to its outcome.
        """

    def loop_lagged(self, seconds: float) -> None:
        """Take one sample of how late the loop calls back.

        Args:
            seconds: Delay past the time asked for.
        """
