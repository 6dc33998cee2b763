"""A pool of persistent HTTP/1.1 connections to one server.

`twisted.web.client` needs about 1 ms of processor time per call, four times
the budget of an order to a worker, hence the C-backed parser.  A connection
carries one request at a time; after a time-out it is closed, not reused.

Answers a burst of requests beyond the limit of connections: a request waits for
the next connection that is established or freed, the oldest first.  It fails
early only if no connection is left and none can be opened.
"""

import collections
import dataclasses
from collections.abc import Callable
from typing import Any, Final

import httptools
from twisted.internet import protocol

from guavaroad.domain import endpoints

OK: Final = 200
CONNECT_TIMEOUT_S: Final = 0.5
_REQUEST_HEAD: Final = '{method} {path} HTTP/1.1\r\nHost: {host}\r\n'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A complete response.

    Attributes:
        status: HTTP status.
        body: Response body.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestFailed:
    """No complete response was received.

    Attributes:
        detail: What failed.
        sent: Whether the request may have reached the server.
    """

    detail: str
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandshakeFailed:
    """The request was not sent, because of the response to its handshake.

    Attributes:
        reply: That response.
    """

    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Handshake:
    """A call that shows which process accepted a connection.

    A connection ends with that process. So a request that follows the handshake
    on the same connection reaches the same process or none, however late.

    Attributes:
        method: HTTP method.
        path: Path and query.
        body: Request body.
        expected: Identity of the process that the request is meant for.
        identify: Returns the identity of the process that sent a response body,
            or 0 if it contains none.
    """

    method: str
    path: str
    body: bytes
    expected: int
    identify: Callable[[bytes], int]

    def is_passed(self, reply: Reply) -> bool:
        """Return whether a response is of the expected process.

        A process that does not identify itself cannot be told from others.
        """
        identity = self.identify(reply.body)
        return reply.status == OK and identity in {0, self.expected}


_POOL_CLOSED: Final = RequestFailed(detail='connection pool closed', sent=False)
Exchange = Reply | RequestFailed | HandshakeFailed
OnExchange = Callable[[Exchange], object]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Request:
    """A request and the callback for its outcome.

    Attributes:
        head: Request line and headers, without Content-Length.
        body: Request body.
        timeout_s: Time-out of the exchange, connecting included, in seconds.
        on_exchange: Called once with the outcome.
        handshake: Handshake that has to precede it on its connection, if any.
        connection: Connection that it was given to, if any.
        timer: Time-out timer; none once the outcome is reported.
    """

    head: bytes
    body: bytes
    timeout_s: float
    on_exchange: OnExchange
    handshake: Handshake | None = None
    connection: 'ClientConnection | None' = None
    timer: Any = None

    def encoded(self) -> bytes:
        """Return the request as HTTP/1.1 bytes."""
        return encode_request(self.head, self.body)

    def finish(self, exchange: Exchange) -> None:
        """Report the outcome; later calls do nothing."""
        timer = self.timer
        self.timer = None
        if timer is not None:
            if timer.active():
                timer.cancel()
            self.on_exchange(exchange)


class ResponseReader:
    """Receives one response from the parser.

    Attributes:
        reply: The response, once it is complete.
        keep_alive: Whether the connection may be used again.
        chunks: Body received so far.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.reply: Reply | None = None
        self.keep_alive = True
        self.chunks: list[bytes] = []

    def feed(self, received: bytes) -> Reply | None:
        """Parse received bytes; return the response once it is complete.

        Bytes beyond the response belong to no request: the connection is not
        used again then.

        Raises:
            httptools.HttpParserError: The response is malformed.
        """
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserError:
            if self.reply is None:
                raise
            self.keep_alive = False
        return self.reply

    def on_message_begin(self) -> None:
        """Reject a second response."""
        if self.reply is not None:
            self.keep_alive = False

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Record the response, unless it is a second one."""
        if self.reply is None:
            self.keep_alive = self.parser.should_keep_alive()
            self.reply = Reply(
                status=self.parser.get_status_code(),
                body=b''.join(self.chunks),
            )


class ClientConnection(protocol.Protocol):
    """A connection to the server.

    Attributes:
        pool: Pool that the connection belongs to.
        request: Request in flight, if any.
        pending_handshake: Its handshake, while that is in flight.
        identity: Identity of the server's process by the last handshake; 0 if
            there was none.
        reader: Receives the response.
    """

    # The type stubs of Twisted declare only the general transport.
    transport: Any

    def __init__(self, *, pool: 'ConnectionPool') -> None:
        self.pool = pool
        self.request: Request | None = None
        self.pending_handshake: Handshake | None = None
        self.identity = 0
        self.reader = ResponseReader()

    def connectionMade(self) -> None:
        """Add the connection to the pool, which may send a request on it."""
        self.transport.setTcpNoDelay(True)
        self.pool.on_free(self)

    def send(self, request: Request) -> None:
        """Write a request, or first its handshake if that is still due."""
        self.request = request
        request.connection = self
        handshake = request.handshake
        if handshake is None or handshake.expected == self.identity:
            self.write(request.encoded())
            return
        self.pending_handshake = handshake
        head = self.pool.head_of(handshake.method, handshake.path)
        self.write(encode_request(head, handshake.body))

    def write(self, encoded: bytes) -> None:
        """Write an encoded request, and prepare for its response."""
        self.reader = ResponseReader()
        self.transport.write(encoded)

    def dataReceived(self, data: bytes) -> None:
        """Parse the data; abort on data that belongs to no request."""
        if self.request is None:
            self.pool.remove(self)
            self.transport.abortConnection()
            return
        try:
            reply = self.reader.feed(data)
        except httptools.HttpParserError as error:
            self.fail(f'malformed response: {error}')
            self.transport.abortConnection()
            return
        if reply is not None:
            self.on_reply(reply, keep_alive=self.reader.keep_alive)

    def on_reply(self, reply: Reply, *, keep_alive: bool) -> None:
        """Process the response to the request or to its handshake."""
        handshake = self.pending_handshake
        if handshake is None:
            self.finish(reply, keep_alive=keep_alive)
            return
        self.identity = handshake.identify(reply.body)
        if self.request is not None and handshake.is_passed(reply):
            if keep_alive:
                self.pending_handshake = None
                self.write(self.request.encoded())
            else:
                self.fail('connection closed after the handshake')
                self.transport.loseConnection()
            return
        self.finish(HandshakeFailed(reply=reply), keep_alive=keep_alive)

    def finish(
        self, exchange: Reply | HandshakeFailed, *, keep_alive: bool
    ) -> None:
        """Return the connection to the pool, and report the outcome."""
        request = self.request
        self.request = None
        self.pending_handshake = None
        if keep_alive:
            self.pool.on_free(self)
        else:
            self.transport.loseConnection()
        if request is not None:
            request.finish(exchange)

    def fail(self, detail: str) -> None:
        """Fail the request in flight, if any.

        It was not sent if its handshake is still in flight.
        """
        request = self.request
        is_sent = self.pending_handshake is None
        self.request = None
        self.pending_handshake = None
        if request is not None:
            request.finish(RequestFailed(detail=detail, sent=is_sent))

    def connectionLost(self, _: Any = protocol.connectionDone) -> None:
        """Leave the pool, and fail the request in flight."""
        self.pool.remove(self)
        self.fail('connection closed')


class ConnectionPool(protocol.ClientFactory):
    """Connections to one server.

    Attributes:
        endpoint: Host and port of the server.
        address: The same as text, for the Host header.
        max_connections: Most connections, those being opened included.
        common_headers: Header lines of every request.
        idle: Open connections without a request.
        waiting: Requests that wait for a connection, the oldest first; none
            while a connection is idle.
        connectors: Connections that are open or being opened.
        closed: Whether the pool was closed.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        address: str,
        max_connections: int,
        headers: dict[str, str] | None = None,
    ) -> None:
        self.reactor = reactor
        self.endpoint = endpoints.split_address(address)
        self.address = address
        self.max_connections = max_connections
        fields = {'Content-Type': 'application/json'} | (headers or {})
        self.common_headers = ''.join(
            f'{name}: {text}\r\n' for name, text in fields.items()
        )
        self.idle: list[ClientConnection] = []
        self.waiting: collections.deque[Request] = collections.deque()
        self.connectors: set[Any] = set()
        self.closed = False

    def send_request(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        on_exchange: OnExchange,
        handshake: Handshake | None = None,
    ) -> None:
        """Send a request on an idle connection, or on the next that is free.

        After `close` it fails at once.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Request body, empty for none.
            timeout_s: Time-out, connecting included, in seconds.
            on_exchange: Called once with the outcome.
            handshake: Handshake that has to precede the request on its
                connection, if any. It is repeated only if it expects another
                process than the last one on that connection has shown.
        """
        request = Request(
            head=self.head_of(method, path),
            body=body,
            timeout_s=timeout_s,
            on_exchange=on_exchange,
            handshake=handshake,
        )
        request.timer = self.reactor.callLater(
            timeout_s, self.on_timeout, request
        )
        if self.closed:
            request.finish(_POOL_CLOSED)
        elif self.idle:
            self.idle.pop().send(request)
        else:
            self.waiting.append(request)
            if len(self.connectors) < self.max_connections:
                self.connect()

    def head_of(self, method: str, path: str) -> bytes:
        """Return the request line and headers, without Content-Length."""
        head = _REQUEST_HEAD.format(method=method, path=path, host=self.address)
        return (head + self.common_headers).encode()

    def connect(self) -> None:
        """Open one more connection."""
        connector = self.reactor.connectTCP(
            self.endpoint[0],
            self.endpoint[1],
            self,
            timeout=CONNECT_TIMEOUT_S,
        )
        self.connectors.add(connector)

    def buildProtocol(self, _: Any) -> ClientConnection:
        """Return the protocol for a new connection."""
        return ClientConnection(pool=self)

    def on_free(self, connection: ClientConnection) -> None:
        """Send the oldest waiting request on a new or freed connection."""
        if self.closed:
            connection.transport.loseConnection()
        elif self.waiting:
            connection.send(self.waiting.popleft())
        else:
            self.idle.append(connection)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Fail the waiting requests, unless another connection will be free."""
        self.connectors.discard(connector)
        if not self.connectors:
            self.fail_waiting(
                RequestFailed(
                    detail=f'not connected: {reason.getErrorMessage()}',
                    sent=False,
                )
            )

    def fail_waiting(self, failed: RequestFailed) -> None:
        """Fail the waiting requests, but none that their callbacks send."""
        waiting = tuple(self.waiting)
        self.waiting.clear()
        for request in waiting:
            request.finish(failed)

    def clientConnectionLost(self, connector: Any, _: Any) -> None:
        """Replace a lost connection if requests wait for one."""
        self.connectors.discard(connector)
        if self.waiting and not self.closed:
            self.connect()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a lost connection from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)

    def on_timeout(self, request: Request) -> None:
        """Fail a request that timed out, and abort its connection."""
        if request in self.waiting:
            self.waiting.remove(request)
            request.finish(
                RequestFailed(
                    detail='no connection before the time-out', sent=False
                )
            )
            return
        connection = request.connection
        if connection is not None and connection.request is request:
            connection.fail('no response before the time-out')
            connection.transport.abortConnection()

    def close(self) -> None:
        """Close every connection and fail the requests in progress."""
        self.closed = True
        self.fail_waiting(_POOL_CLOSED)
        for connector in tuple(self.connectors):
            connector.disconnect()


def encode_request(head: bytes, body: bytes) -> bytes:
    """Return a request as HTTP/1.1 bytes.

    Args:
        head: Request line and headers, without Content-Length.
        body: Request body.
    """
    return b'%sContent-Length: %d\r\n\r\n%s' % (head, len(body), body)


def is_ok(exchange: Exchange) -> bool:
    """Return whether a call succeeded."""
    return isinstance(exchange, Reply) and exchange.status == OK


def failure_detail(exchange: Exchange) -> str:
    """Return why a call has failed."""
    match exchange:
        case Reply():
            return f'status {exchange.status}'
        case HandshakeFailed(reply=reply):
            return f'status {reply.status} of the handshake'
        case RequestFailed():
            return exchange.detail
