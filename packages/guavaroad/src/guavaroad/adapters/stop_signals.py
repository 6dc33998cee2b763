"""Passes termination signals to the event loop."""

import functools
import signal
from collections.abc import Callable
from typing import Any, Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def install(reactor: Any, stop: Callable[[], object]) -> None:
    """Install handlers that call `stop` in the event loop.

    Args:
        reactor: Reactor, run without its own signal handlers.
        stop: Called for each signal.
    """
    handler = functools.partial(_schedule_stop, reactor, stop)
    for signal_number in STOP_SIGNALS:
        signal.signal(signal_number, handler)


def _schedule_stop(
    reactor: Any, stop: Callable[[], object], *_: object
) -> None:
    reactor.callFromThread(stop)
