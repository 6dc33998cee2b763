"""Flow of a client's connection: reads pause, and answers may stay unread."""

# Overridden methods have the names of the library.
# ruff: noqa: N802
from collections.abc import Callable
from typing import Any


class ClientFlow:
    """Pauses reading, and is told by the transport whether answers are read.

    Attributes:
        transport: Twisted's transport.
        on_change: Called when answers are unread, or read again.
        answers_unread: Whether the client reads its answers too slowly.
        is_paused: Whether reading is paused.
        is_closed: Whether the connection is being closed.
    """

    def __init__(
        self, *, transport: Any, on_change: Callable[[], object]
    ) -> None:
        self.transport = transport
        self.on_change = on_change
        self.answers_unread = False
        self.is_paused = False
        self.is_closed = False
        transport.registerProducer(self, True)

    def set_paused(self, *, is_paused: bool) -> None:
        """Pause or resume reading."""
        if is_paused == self.is_paused or self.is_closed:
            return
        self.is_paused = is_paused
        if is_paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def close(self) -> None:
        """Close the connection after pending writes."""
        self.is_closed = True
        # With a producer that is paused the transport would not close.
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def pauseProducing(self) -> None:
        """Handle that unread answers fill the buffer."""
        self.answers_unread = True
        self.on_change()

    def resumeProducing(self) -> None:
        """Handle that the answers were read."""
        self.answers_unread = False
        self.on_change()

    def stopProducing(self) -> None:
        """Do nothing: the connection is lost."""
