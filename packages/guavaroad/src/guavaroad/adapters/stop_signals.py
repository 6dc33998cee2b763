"""Hands the signals that ask a process to stop to the loop."""

import functools
import signal
from collections.abc import Callable
from typing import Any, Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def follow(reactor: Any, stop: Callable[[], object]) -> None:
    """Call `stop` on the loop at each signal.

    Args:
        reactor: The loop, run without its own signal handlers.
        stop: Called without arguments.
    """
    handler = functools.partial(_hand_over, reactor, stop)
    for number in STOP_SIGNALS:
        signal.signal(number, handler)


def _hand_over(reactor: Any, stop: Callable[[], object], *_: object) -> None:
    reactor.callFromThread(stop)
