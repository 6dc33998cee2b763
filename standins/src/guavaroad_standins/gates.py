"""Holds requests or answers until a test releases them."""

from twisted.internet import defer


class Gate:
    """Requests that wait for the next switch of faults."""

    def __init__(self) -> None:
        self.held: list[defer.Deferred[None]] = []

    def wait(self) -> 'defer.Deferred[None]':
        """Return a Deferred that fires on release."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self.held.append(waiting)
        return waiting

    def release(self) -> None:
        """Let everything pass that is held."""
        held = self.held.copy()
        self.held.clear()
        for waiting in held:
            waiting.callback(None)
