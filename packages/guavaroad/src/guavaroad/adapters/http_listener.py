"""An HTTP/1.1 server with a C-backed parser, for the request path.

Pipelined requests of one connection are handled one at a time, in order.  A
request with a header section or a body over its bound, or one that can't be
parsed, gets an error response, and its connection is closed.  A client that
doesn't read its responses blocks no other connection.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

from twisted.internet import protocol

from guavaroad.adapters import (
    client_guard,
    connection_timeouts,
    http_exchange,
    server_connection,
)
from guavaroad.ports import logs, timers

# Status of a request that fails in its handler. It may have been carried out,
# so that its client has to take the outcome for unknown.
FAILURE_STATUS: Final = HTTPStatus.GATEWAY_TIMEOUT
# Characters of a request target in a log line.
MAX_LOGGED_TARGET: Final = 200
_log: Final = logs.logger_of('http')

# Handlers need this module only.
Answer = http_exchange.Answer
Bounds = http_exchange.Bounds
Request = http_exchange.Request


class HttpListener(protocol.ServerFactory):
    """Accepts connections and passes their requests to a handler.

    Attributes:
        handler: Called with each complete request.
        bounds: Bounds on requests.
        timers: Timer service.
        guard: Limits on the connections of all listeners of the process.
        closing: Whether each connection is closed after its next response.
        connections: Open connections.
    """

    noisy = False

    def __init__(
        self,
        *,
        handler: Callable[[Request], object],
        bounds: Bounds,
        timer_service: timers.TimerService,
        guard: client_guard.ClientGuard | None = None,
    ) -> None:
        self.handler = handler
        self.bounds = bounds
        self.timers = timer_service
        self.guard = guard or client_guard.ClientGuard(
            bounds=bounds, timer_service=timer_service
        )
        self.closing = False
        self.connections: set[server_connection.ServerConnection] = set()

    def buildProtocol(self, _: Any) -> server_connection.ServerConnection:
        """Return the protocol for a new connection."""
        return server_connection.ServerConnection(listener=self)

    def dispatch(self, request: Request) -> None:
        """Pass a request to the handler; one that fails there is answered.

        Without an answer, the requests behind it would wait until the client
        disconnects.
        """
        try:
            self.handler(request)
        except Exception as error:  # noqa: BLE001 - isolate failing requests
            _log.opt(exception=error).error(
                'handling of {} {!r} failed',
                request.method,
                request.target[:MAX_LOGGED_TARGET],
            )
            request.answer(Answer(status=FAILURE_STATUS))
        if not request.answered:
            request.release()

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.connections)

    def close_idle(self, now_s: float) -> None:
        """Close the connections whose time-out has passed.

        Args:
            now_s: Time of the timer service, in seconds.
        """
        for connection in tuple(self.connections):
            connection_timeouts.expire(connection, now_s)
