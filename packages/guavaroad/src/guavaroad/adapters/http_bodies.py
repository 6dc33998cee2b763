"""Bodies of outgoing requests and of their answers."""

# Methods overridden here have the names of the library.
# ruff: noqa: N802
from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client, http, iweb
from zope.interface import implementer  # type: ignore[import-untyped]


@implementer(iweb.IBodyProducer)
class WholeBody:
    """Writes a body at once; the library's own takes turns of the loop."""

    def __init__(self, *, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> 'defer.Deferred[None]':
        """Write the body."""
        consumer.write(self.body)
        return defer.succeed(None)

    def stopProducing(self) -> None:
        """Do nothing: the body was written."""

    def pauseProducing(self) -> None:
        """Do nothing: the body was written."""

    def resumeProducing(self) -> None:
        """Do nothing: the body was written."""


class AnswerTooLargeError(Exception):
    """The body of an answer is over its bound."""


class BodyReader(protocol.Protocol):
    """Reads the body of an answer up to a bound.

    Attributes:
        whole: Fires with the body, or fails if it did not arrive whole.
        size: Bytes read so far.
    """

    transport: Any

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        self.chunks: list[bytes] = []
        self.whole: defer.Deferred[bytes] = defer.Deferred(self.abort)

    def dataReceived(self, data: bytes) -> None:
        """Keep a part of the body, or abort the connection."""
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
        """Take the end of the body."""
        if self.whole.called:
            return
        if self.size > self.max_bytes:
            self.whole.errback(AnswerTooLargeError(f'over {self.max_bytes}'))
        elif reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.whole.callback(b''.join(self.chunks))
        else:
            self.whole.errback(reason)

    def abort(self, *_: object) -> None:
        """Close the connection, so that it is never used again."""
        self.transport.loseConnection()


async def read_body(response: Any, max_bytes: int) -> bytes:
    """Return the whole body of an answer.

    Args:
        response: Answer whose head has arrived.
        max_bytes: Largest body.

    Returns:
        The body.

    Raises:
        AnswerTooLargeError: If the body is larger; the connection is closed.
    """
    reader = BodyReader(max_bytes=max_bytes)
    response.deliverBody(reader)
    return await reader.whole
