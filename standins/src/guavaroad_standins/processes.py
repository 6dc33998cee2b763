"""Child processes of a test, demo or bench, each with its log file."""

import pathlib
import signal
import subprocess
import time
from collections.abc import Callable, Sequence
from typing import Final

_POLL_S: Final = 0.02
_END_S: Final = 10


class ConditionTimeoutError(Exception):
    """A condition did not come true in time; read the process logs."""


def wait_until(
    condition: Callable[[], object], what: str, timeout_s: float = 20
) -> None:
    """Wait for a condition.

    Args:
        condition: Called until it returns a true value.
        what: Description for the error.
        timeout_s: Longest wait.

    Raises:
        ConditionTimeoutError: If the condition stays false.
    """
    give_up = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up:
            raise ConditionTimeoutError(f'not within {timeout_s} s: {what}')
        time.sleep(_POLL_S)


class Process:
    """One child process."""

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
        """Return whether it still runs."""
        return self.child.poll() is None

    def kill(self) -> None:
        """End it at once."""
        self.child.kill()
        self.child.wait(_END_S)

    def terminate(self) -> None:
        """Ask it to stop."""
        self.child.terminate()

    def wait(self, timeout_s: float) -> int:
        """Return its exit code once it has ended."""
        return self.child.wait(timeout_s)

    def freeze(self) -> None:
        """Stop its execution until `thaw`."""
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continue it after `freeze`."""
        self.child.send_signal(signal.SIGCONT)

    def end(self) -> None:
        """Make sure that it is gone, frozen or not."""
        if self.alive():
            self.kill()
