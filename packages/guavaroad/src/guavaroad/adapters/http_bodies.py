"""Request and response bodies of the HTTP client."""

# Overridden methods have the names of the library.
# ruff: noqa: N802
from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client, http, iweb
from zope.interface import implementer  # type: ignore[import-untyped]


@implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a body in one call; Twisted's producer yields to the loop."""

    def __init__(self, *, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> 'defer.Deferred[None]':
        """Write the body."""
        consumer.write(self.body)
        return defer.succeed(None)

    def stopProducing(self) -> None:
        """Do nothing; the body is written already."""

    def pauseProducing(self) -> None:
        """Do nothing; the body is written already."""

    def resumeProducing(self) -> None:
        """Do nothing; the body is written already."""


class AnswerTooLargeError(Exception):
    """A response body exceeds its bound."""


class BodyReader(protocol.Protocol):
    """Reads a response body up to a bound.

    Attributes:
        max_bytes: Largest body.
        size: Bytes received so far.
        chunks: Parts of the body.
        finished: Fires with the complete body, or fails without one.
    """

    transport: Any

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        self.chunks: list[bytes] = []
        self.finished: defer.Deferred[bytes] = defer.Deferred(self.abort)

    def dataReceived(self, data: bytes) -> None:
        """Append a part of the body; over the bound, abort the connection."""
        if self.size > self.max_bytes:
            return
        self.size += len(data)
        if self.size > self.max_bytes:
            self.chunks.clear()
            self.abort()
            return
        self.chunks.append(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fire with the body if it is complete, else fail."""
        if self.finished.called:
            return
        if self.size > self.max_bytes:
            self.finished.errback(
                AnswerTooLargeError(
                    f'response body exceeds {self.max_bytes} bytes'
                )
            )
        elif reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.finished.callback(b''.join(self.chunks))
        else:
            self.finished.errback(reason)

    def abort(self, *_: object) -> None:
        """Close the connection, so that it is not reused."""
        self.transport.loseConnection()


async def read_body(response: Any, max_bytes: int) -> bytes:
    """Return the complete body of a response.

    Args:
        response: Response whose headers were received.
        max_bytes: Largest body.

    Returns:
        The body.

    Raises:
        AnswerTooLargeError: If the body is larger; the connection is closed.
    """
    reader = BodyReader(max_bytes=max_bytes)
    response.deliverBody(reader)
    return await reader.finished
