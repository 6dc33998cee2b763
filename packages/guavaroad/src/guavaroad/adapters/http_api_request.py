"""Requests that are refused as soon as their body exceeds a bound."""

# Overridden methods have the names of the library.
# ruff: noqa: N802
from typing import Any

from twisted.python import failure
from twisted.web import server

from guavaroad.services import (
    answers,
)


class BoundedRequest(server.Request):
    """Request that reserves memory before its body is received.

    Attributes:
        reserved_bytes: Bytes reserved at the site.
        length_unknown: Whether the request has no Content-Length.
    """

    channel: Any

    def __init__(self, channel: Any, *rest: Any) -> None:
        super().__init__(channel, *rest)
        self.reserved_bytes = 0
        self.length_unknown = False

    def gotLength(self, length: int | None) -> None:
        """Reserve the memory of a body of known length, or refuse it."""
        super().gotLength(length)
        self.length_unknown = length is None
        self.reserve(length or 0)

    def handleContentChunk(self, data: bytes) -> None:
        """Receive a part of the body."""
        if self.length_unknown:
            self.reserve(len(data))
        if not self.channel.refused:
            super().handleContentChunk(data)

    def reserve(self, more_bytes: int) -> None:
        """Reserve more memory, or refuse the request."""
        site = self.channel.site
        error_code = site.reserve_bytes(self.reserved_bytes, more_bytes)
        if error_code is None:
            self.reserved_bytes += more_bytes
            return
        self.channel.refuse(answers.plain(error_code))

    def release_body(self) -> None:
        """Release the reserved memory, once."""
        if self.reserved_bytes and self.channel is not None:
            self.channel.site.release_bytes(self.reserved_bytes)
            self.reserved_bytes = 0

    def finish(self) -> Any:
        """Finish the response and release the body."""
        self.release_body()
        return super().finish()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Release the body when the connection is lost."""
        self.release_body()
        super().connectionLost(reason)
