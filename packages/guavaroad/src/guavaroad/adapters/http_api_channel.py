"""Connections of the client port, with a time-out for each request."""

# Overridden methods have the names of the library.
# ruff: noqa: N802
from typing import Any, Final

from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http

from guavaroad.adapters import http_api_writing
from guavaroad.domain import codes
from guavaroad.ports import timers
from guavaroad.services import (
    answers,
)

LINGER_S: Final = 2


class BoundedChannel(http.HTTPChannel):
    """Connection that can refuse a request before it is received in full.

    After a refusal further input is read and discarded for `LINGER_S`: closing
    with unread input would reset the connection and could lose the answer.

    Attributes:
        site: Site with the bounds.
        refused: Whether a refusal was written; input is no longer parsed.
        receive_timer: Time-out of the request being received.
        handling: Whether a complete request is being handled.
    """

    site: Any
    transport: Any

    def __init__(self) -> None:
        super().__init__()
        self.refused = False
        self.receive_timer: timers.Timer | None = None
        self.handling = False

    def connectionMade(self) -> None:
        """Register the connection, or refuse it over the bound."""
        super().connectionMade()
        if self.site.connection_opened(self):
            return
        self.refuse(answers.plain(codes.ResultCode.TOO_MANY_CONNECTIONS))
        if self.site.is_past_refusal_limit():
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse the data, unless a request was refused."""
        if self.refused:
            return
        if self.receive_timer is None and not self.handling:
            self.receive_timer = self.site.timers.call_after(
                self.site.bounds.request_timeout_s,
                lambda: self.refuse(_request_timeout()),
            )
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        """Parse a header line, unless the request was refused."""
        if not self.refused:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Receive a part of the body, unless the request was refused."""
        if not self.refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Handle a complete request."""
        if self.refused:
            return
        self.cancel_receive_timer()
        self.handling = True
        super().allContentReceived()

    def checkPersistence(self, request: http.Request, version: bytes) -> bool:
        """Return whether the connection stays open after the answer."""
        persistent: bool = super().checkPersistence(request, version)
        if persistent and self.site.draining:
            request.setHeader(b'Connection', b'close')
            return False
        return persistent

    def requestDone(self, request: http.Request) -> None:
        """Continue with the next request, or close the connection."""
        self.handling = False
        self.persistent = self.persistent and not self.site.draining
        super().requestDone(request)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Unregister the connection."""
        self.cancel_receive_timer()
        self.site.connection_closed(self)
        super().connectionLost(reason)

    def busy(self) -> bool:
        """Return whether a request is received, handled or refused now."""
        return self.handling or self.refused or self.receive_timer is not None

    def cancel_receive_timer(self) -> None:
        """Cancel the time-out of the request being received."""
        if self.receive_timer is not None:
            self.receive_timer.cancel()
        self.receive_timer = None

    def close_when_idle(self) -> None:
        """Close the connection after pending writes, unless it is busy."""
        if not self.busy():
            self.loseConnection()

    def refuse(self, answer: answers.Answer) -> None:
        """Write an answer, discard further input, and close after `LINGER_S`.

        Args:
            answer: Answer with the reason.
        """
        if self.refused:
            return
        self.refused = True
        self.cancel_receive_timer()
        self.setTimeout(None)
        self.transport.write(http_api_writing.encode_closing(answer))
        self.site.timers.call_after(LINGER_S, self.transport.abortConnection)

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse(
            answers.plain(
                codes.ResultCode.BAD_REQUEST,
                detail='the head of the request is not HTTP within bounds',
            )
        )


def _request_timeout() -> answers.Answer:
    return answers.plain(codes.ResultCode.REQUEST_TIMEOUT)
