"""One request, refused as soon as its body is known to be too large."""

# Methods overridden here have the names of the library.
# ruff: noqa: N802
from typing import Any

from twisted.python import failure
from twisted.web import server

from guavaroad.services import (
    answers,
)


class BoundedRequest(server.Request):
    """Reserves room for its body before the body is read.

    Attributes:
        held: Bytes reserved at the site.
        unreserved: Whether the length is not known beforehand.
    """

    channel: Any

    def __init__(self, channel: Any, *rest: Any) -> None:
        super().__init__(channel, *rest)
        self.held = 0
        self.unreserved = False

    def gotLength(self, length: int | None) -> None:
        """Reserve room for a body of known length, or refuse it."""
        super().gotLength(length)
        self.unreserved = length is None
        self.reserve(length or 0)

    def handleContentChunk(self, data: bytes) -> None:
        """Take a part of the body."""
        if self.unreserved:
            self.reserve(len(data))
        if not self.channel.refused:
            super().handleContentChunk(data)

    def reserve(self, more_bytes: int) -> None:
        """Reserve room, or refuse the request."""
        site = self.channel.site
        refusal = site.hold(self.held, more_bytes)
        if refusal is None:
            self.held += more_bytes
            return
        self.channel.refuse(answers.plain(refusal))

    def release(self) -> None:
        """Give the reserved room back, once."""
        if self.held and self.channel is not None:
            self.channel.site.release(self.held)
            self.held = 0

    def finish(self) -> Any:
        """End the answer."""
        self.release()
        return super().finish()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Take the end of the connection."""
        self.release()
        super().connectionLost(reason)
