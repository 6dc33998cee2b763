"""One connection of the client port, bounded in time."""

# Methods overridden here have the names of the library.
# ruff: noqa: N802
from typing import Any, Final

from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http

from guavaroad.adapters import http_api_writing
from guavaroad.domain import codes
from guavaroad.ports import timers
from guavaroad.services import answers

LINGER_S: Final = 2


class BoundedChannel(http.HTTPChannel):
    """Answers a request that can't be served without reading it whole.

    After a refusal the rest of what the client sends is read and dropped for
    `LINGER_S`, because closing at once could destroy the answer on its way.

    Attributes:
        site: Site with the bounds.
        refused: Whether a refusal was written; nothing is parsed any more.
        receiving: Limits the time that a request takes to arrive.
        handling: Whether a whole request waits for its answer.
    """

    site: Any
    transport: Any

    def __init__(self) -> None:
        super().__init__()
        self.refused = False
        self.receiving: timers.Timer | None = None
        self.handling = False

    def connectionMade(self) -> None:
        """Count the connection, or refuse it."""
        super().connectionMade()
        if self.site.opened(self):
            return
        self.refuse(answers.plain(codes.ResultCode.TOO_MANY_CONNECTIONS))
        if self.site.crowded():
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse what arrived, unless the request was refused."""
        if self.refused:
            return
        if self.receiving is None and not self.handling:
            self.receiving = self.site.timers.call_after(
                self.site.bounds.request_timeout_s,
                lambda: self.refuse(_too_slow()),
            )
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        """Take a line of the head, unless the request was refused."""
        if not self.refused:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Take a part of the body, unless the request was refused."""
        if not self.refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Hand a whole request on."""
        if self.refused:
            return
        self.stop_receiving()
        self.handling = True
        super().allContentReceived()

    def checkPersistence(self, request: http.Request, version: bytes) -> bool:
        """Return whether the connection stays open after the answer."""
        persistent: bool = super().checkPersistence(request, version)
        if persistent and self.site.leaving:
            request.setHeader(b'Connection', b'close')
            return False
        return persistent

    def requestDone(self, request: http.Request) -> None:
        """Go on with the next request of the connection, or end it."""
        self.handling = False
        self.persistent = self.persistent and not self.site.leaving
        super().requestDone(request)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Take the end of the connection."""
        self.stop_receiving()
        self.site.closed(self)
        super().connectionLost(reason)

    def busy(self) -> bool:
        """Return whether a request is arriving, served or refused."""
        return self.handling or self.refused or self.receiving is not None

    def stop_receiving(self) -> None:
        """Cancel the limit on the time of arrival."""
        if self.receiving is not None:
            self.receiving.cancel()
        self.receiving = None

    def close_when_idle(self) -> None:
        """Send what is written, then close, unless a request is open."""
        if not self.busy():
            self.loseConnection()

    def refuse(self, answer: answers.Answer) -> None:
        """Write an answer and close; the rest of the input is dropped.

        Args:
            answer: Why the request is not served.
        """
        if self.refused:
            return
        self.refused = True
        self.stop_receiving()
        self.setTimeout(None)
        self.transport.write(http_api_writing.raw(answer))
        self.site.timers.call_after(LINGER_S, self.transport.abortConnection)

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse(
            answers.plain(
                codes.ResultCode.BAD_REQUEST,
                detail='the head of the request is not HTTP within bounds',
            )
        )


def _too_slow() -> answers.Answer:
    return answers.plain(codes.ResultCode.REQUEST_TIMEOUT)
