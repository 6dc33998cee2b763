"""An HTTP/1.1 server with a C-backed parser, for the request path.

Pipelined requests of one connection are handled one at a time, in order.  A
request with a header section or a body over its bound, or one that can't be
parsed, gets an error response, and its connection is closed.  A client that
doesn't read its responses blocks no other connection.
"""

import collections
import dataclasses
import types
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import httptools
from twisted.internet import protocol

from guavaroad.ports import logs, timers

# Pending requests of one connection; with more it is aborted.
MAX_PIPELINED_REQUESTS: Final = 16
# Status of a request that fails in its handler. It may have been carried out,
# so that its client has to take the outcome for unknown.
FAILURE_STATUS: Final = HTTPStatus.GATEWAY_TIMEOUT
# Characters of a request target in a log line.
MAX_LOGGED_TARGET: Final = 200
_log: Final = logs.logger_of('http')
_REASONS: Final = types.MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Bounds:
    """Bounds on requests; they may change while connections are open.

    Attributes:
        head_bytes: Largest request target and headers, in bytes.
        body_bytes: Largest body, in bytes.
        head_timeout_s: Longest pause while a request is being received, in
            seconds.
        idle_timeout_s: Longest time without a request, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An HTTP response with a JSON body.

    Attributes:
        status: HTTP status.
        body: JSON text.
        headers: Headers other than Content-Length and Content-Type.
    """

    status: int
    body: bytes = b'{}'
    headers: tuple[tuple[str, str], ...] = ()

    def encoded(self, *, closing: bool) -> bytes:
        """Return the response as HTTP/1.1 bytes.

        Args:
            closing: Whether to announce that the connection is closed.
        """
        connections = [
            f'HTTP/1.1 {self.status} {_REASONS.get(self.status, "")}',
            'Content-Type: application/json',
            f'Content-Length: {len(self.body)}',
        ]
        connections.extend(f'{name}: {text}' for name, text in self.headers)
        if closing:
            connections.append('Connection: close')
        head = '\r\n'.join(connections).encode('latin-1')
        return b'%s\r\n\r\n%s' % (head, self.body)


class Request:
    """A received request that is answered once.

    Attributes:
        connection: Connection on which the request arrived.
        method: HTTP method.
        target: Request target: the path with its query.
        path: Path without its query.
        headers: Header values by lower-case name.
        body: Request body.
        on_disconnect: Called if the client disconnects before the response.
        answered: Whether a response was sent or the client disconnected.
    """

    def __init__(self, *, connection: 'ServerConnection', method: str) -> None:
        self.connection = connection
        self.method = method
        self.target = ''
        self.path = ''
        self.headers: dict[str, str] = {}
        self.body = b''
        self.on_disconnect: Callable[[], object] | None = None
        self.answered = False

    def wants_close(self) -> bool:
        """Return whether the request has `Connection: close`."""
        return self.headers.get('connection', '').lower() == 'close'

    def answer(self, answer: Answer) -> None:
        """Send the response, once, unless the client has disconnected."""
        if not self.answered:
            self.answered = True
            self.connection.finish(self, answer)


class HttpListener(protocol.ServerFactory):
    """Accepts connections and passes their requests to a handler.

    Attributes:
        handler: Called with each complete request.
        bounds: Bounds on requests.
        timers: Timer service.
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
    ) -> None:
        self.handler = handler
        self.bounds = bounds
        self.timers = timer_service
        self.closing = False
        self.connections: set[ServerConnection] = set()

    def buildProtocol(self, _: Any) -> 'ServerConnection':
        """Return the protocol for a new connection."""
        return ServerConnection(listener=self)

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

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.connections)

    def close_idle(self, now_s: float) -> None:
        """Close the connections whose time-out has passed.

        Args:
            now_s: Time of the timer service, in seconds.
        """
        for connection in tuple(self.connections):
            if connection.is_timed_out(now_s):
                connection.transport.loseConnection()


class ServerConnection(protocol.Protocol):
    """A client's connection.

    Attributes:
        listener: Listener that accepted the connection.
        parser: Parser of the incoming requests.
        url: Target of the request being received.
        headers: Headers of the request being received.
        chunks: Body of the request being received.
        head_size: Bytes of its target and headers so far.
        body_size: Bytes of its body so far.
        receiving: Whether a request is being received.
        queue: Requests without a response, the one being handled first.
        last_active_s: Time of the last read or write, in seconds.
        error_status: Status for a bad request; set, nothing more is parsed.
    """

    # The type stubs of Twisted declare only the general transport.
    transport: Any

    def __init__(self, *, listener: HttpListener) -> None:
        self.listener = listener
        self.parser = httptools.HttpRequestParser(self)
        self.url = b''
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.head_size = 0
        self.body_size = 0
        self.receiving = False
        self.queue: collections.deque[Request] = collections.deque()
        self.last_active_s = float(0)
        self.error_status: HTTPStatus | None = None

    def connectionMade(self) -> None:
        """Register the connection."""
        self.transport.setTcpNoDelay(True)
        self.last_active_s = self.listener.timers.now()
        self.listener.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse the data; reject a request that the parser rejects."""
        self.last_active_s = self.listener.timers.now()
        if self.error_status is not None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.send_error(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self.send_error(self.error_status or HTTPStatus.BAD_REQUEST)
        if len(self.queue) > MAX_PIPELINED_REQUESTS:
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.url = b''
        self.headers = {}
        self.chunks = []
        self.head_size = 0
        self.body_size = 0
        self.receiving = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.url += url
        self.count_head_bytes(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        self.count_head_bytes(len(name) + len(text))
        self.headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body, within the bound."""
        self.body_size += len(chunk)
        if self.body_size > self.listener.bounds.body_bytes:
            self.error_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise ValueError(self.error_status.phrase)
        self.chunks.append(chunk)

    def count_head_bytes(self, size: int) -> None:
        """Count bytes of the target and headers, within the bound."""
        self.head_size += size
        if self.head_size > self.listener.bounds.head_bytes:
            self.error_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise ValueError(self.error_status.phrase)

    def on_message_complete(self) -> None:
        """Queue the request; handle it now if no other is pending."""
        self.receiving = False
        method = self.parser.get_method().decode('latin-1')
        request = Request(connection=self, method=method)
        request.target = self.url.decode('latin-1')
        request.path = request.target.partition('?')[0]
        request.headers = self.headers
        request.body = b''.join(self.chunks)
        self.chunks = []
        self.queue.append(request)
        if len(self.queue) == 1:
            self.listener.dispatch(request)

    def send_error(self, status: HTTPStatus) -> None:
        """Send an error response and close the connection.

        With requests pending, the response follows theirs.

        Args:
            status: Status of the response.
        """
        self.error_status = status
        if not self.queue:
            self.write(Answer(status=status.value), closing=True)

    def finish(self, request: Request, answer: Answer) -> None:
        """Send the response to the current request and handle the next."""
        if not self.queue or self.queue[0] is not request:
            return
        closing = self.listener.closing or request.wants_close()
        self.queue.popleft()
        self.write(answer, closing=closing)
        if self.queue and not closing:
            self.listener.dispatch(self.queue[0])
        elif self.error_status is not None and not closing:
            self.send_error(self.error_status)

    def write(self, answer: Answer, *, closing: bool) -> None:
        """Write a response, and close the connection if `closing`."""
        self.last_active_s = self.listener.timers.now()
        self.transport.write(answer.encoded(closing=closing))
        if closing:
            self.transport.loseConnection()

    def is_timed_out(self, now_s: float) -> bool:
        """Return whether the idle or the receive time-out has passed."""
        if self.queue:
            return False
        bounds = self.listener.bounds
        timeout_s = (
            bounds.head_timeout_s if self.receiving else bounds.idle_timeout_s
        )
        return now_s - self.last_active_s > timeout_s

    def connectionLost(self, _: Any = protocol.connectionDone) -> None:
        """Notify the handlers of pending requests."""
        self.listener.connections.discard(self)
        for request in self.queue:
            request.answered = True
            if request.on_disconnect is not None:
                request.on_disconnect()
        self.queue.clear()
