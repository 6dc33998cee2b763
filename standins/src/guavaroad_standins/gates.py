"""Holds requests or answers until they are released."""

from twisted.internet import defer


class Gate:
    """Queue of held requests."""

    def __init__(self) -> None:
        self.held: list[defer.Deferred[None]] = []

    def wait(self) -> 'defer.Deferred[None]':
        """Return a Deferred that fires on release."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self.held.append(waiting)
        return waiting

    def release(self) -> None:
        """Release everything that is held."""
        held = self.held.copy()
        self.held.clear()
        for waiting in held:
            waiting.callback(None)
