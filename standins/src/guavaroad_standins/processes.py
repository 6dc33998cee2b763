"""Child processes of a test, demo or benchmark, each with a log file."""

import pathlib
import signal
import subprocess
import time
from collections.abc import Callable, Sequence
from typing import Final

_POLL_PERIOD_S: Final = 0.02
_KILL_TIMEOUT_S: Final = 10


class ConditionTimeoutError(Exception):
    """A condition was not met in time."""


def wait_until(
    condition: Callable[[], object], what: str, timeout_s: float = 20
) -> None:
    """Wait for a condition.

    Args:
        condition: Called until it returns a true value.
        what: Description of the condition, for the error.
        timeout_s: Timeout, in seconds.

    Raises:
        ConditionTimeoutError: The condition was not met in time; the process
            logs have the details.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise ConditionTimeoutError(
                f'timed out after {timeout_s} s: {what}'
            )
        time.sleep(_POLL_PERIOD_S)


class Process:
    """A child process."""

    def __init__(
        self, *, name: str, command: Sequence[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.log = log
        with log.open('ab') as sink:
            self.child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=sink,
                stderr=subprocess.STDOUT,
            )

    def alive(self) -> bool:
        """Return whether it is running."""
        return self.child.poll() is None

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.child.kill()
        self.child.wait(_KILL_TIMEOUT_S)

    def terminate(self) -> None:
        """Send it SIGTERM."""
        self.child.terminate()

    def wait(self, timeout_s: float) -> int:
        """Wait for its end and return the exit code."""
        return self.child.wait(timeout_s)

    def freeze(self) -> None:
        """Suspend it until `thaw`."""
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume it after `freeze`."""
        self.child.send_signal(signal.SIGCONT)

    def end(self) -> None:
        """Kill it if it is running, frozen or not."""
        if self.alive():
            self.kill()
