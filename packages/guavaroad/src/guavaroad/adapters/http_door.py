"""An HTTP/1.1 server on a C-backed parser, for the request path.

Requests of one connection are answered one after another.  A head or a body
over its bound, or one that can't be parsed, gets an answer and ends the
connection; a client that doesn't read blocks only itself.
"""

import collections
import dataclasses
import types
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import httptools
from twisted.internet import protocol

from guavaroad.ports import timers

# Requests that one connection may send ahead of their answers.
MOST_PIPELINED: Final = 16
_REASONS: Final = types.MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Bounds:
    """Bounds on requests; they may change while connections are open.

    Attributes:
        head_bytes: Largest head.
        body_bytes: Largest body.
        head_timeout_s: Time for a head once begun.
        idle_timeout_s: Time that a connection may be idle.
    """

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What a client is told.

    Attributes:
        status: HTTP status.
        body: Body.
        headers: Headers beside length and type.
    """

    status: int
    body: bytes = b'{}'
    headers: tuple[tuple[str, str], ...] = ()

    def encoded(self, *, closing: bool) -> bytes:
        """Return the answer as it is sent.

        Args:
            closing: Whether the connection ends with it.
        """
        lines = [
            f'HTTP/1.1 {self.status} {_REASONS.get(self.status, "")}',
            'Content-Type: application/json',
            f'Content-Length: {len(self.body)}',
        ]
        lines.extend(f'{name}: {text}' for name, text in self.headers)
        if closing:
            lines.append('Connection: close')
        head = '\r\n'.join(lines).encode('latin-1')
        return b'%s\r\n\r\n%s' % (head, self.body)


class Visit:
    """One request on its way to its answer.

    Attributes:
        method: HTTP method.
        target: Path with its query.
        path: Path without its query.
        headers: Headers, names in lower case.
        body: Body.
        on_gone: Called if the client leaves before the answer.
    """

    def __init__(self, *, line: 'DoorProtocol', method: str) -> None:
        self.line = line
        self.method = method
        self.target = ''
        self.path = ''
        self.headers: dict[str, str] = {}
        self.body = b''
        self.on_gone: Callable[[], object] | None = None
        self.answered = False

    def ends_line(self) -> bool:
        """Return whether the client ends its connection with it."""
        return self.headers.get('connection', '').lower() == 'close'

    def answer(self, answer: Answer) -> None:
        """Send the answer, unless the client has left."""
        if not self.answered:
            self.answered = True
            self.line.finish(self, answer)


class Door(protocol.ServerFactory):
    """Takes connections.

    Attributes:
        handler: Called with each whole request.
        bounds: Bounds on requests.
        closing: Whether each connection ends with its next answer.
        lines: Open connections.
    """

    noisy = False

    def __init__(
        self,
        *,
        handler: Callable[[Visit], object],
        bounds: Bounds,
        timer_service: timers.TimerService,
    ) -> None:
        self.handler = handler
        self.bounds = bounds
        self.timers = timer_service
        self.closing = False
        self.lines: set[DoorProtocol] = set()

    def buildProtocol(self, _: Any) -> 'DoorProtocol':
        """Return the protocol of a new connection."""
        return DoorProtocol(door=self)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.lines)

    def close_idle(self, now_s: float) -> None:
        """Close connections that were idle, or in a head, for too long."""
        for line in tuple(self.lines):
            if line.is_stale(now_s):
                line.transport.loseConnection()


class DoorProtocol(protocol.Protocol):
    """One connection of a client."""

    # The type stubs of Twisted know only the general transport.
    transport: Any

    def __init__(self, *, door: Door) -> None:
        self.door = door
        self.parser = httptools.HttpRequestParser(self)
        self.url = b''
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.head_size = 0
        self.body_size = 0
        self.reading = False
        self.queue: collections.deque[Visit] = collections.deque()
        self.active_s = float(0)
        self.refusal: HTTPStatus | None = None

    def connectionMade(self) -> None:
        """Count the connection."""
        self.transport.setTcpNoDelay(True)
        self.active_s = self.door.timers.now()
        self.door.lines.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser, and refuse what it refuses."""
        self.active_s = self.door.timers.now()
        if self.refusal is not None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self.refuse(self.refusal or HTTPStatus.BAD_REQUEST)
        if len(self.queue) > MOST_PIPELINED:
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.url = b''
        self.headers = {}
        self.chunks = []
        self.head_size = 0
        self.body_size = 0
        self.reading = True

    def on_url(self, url: bytes) -> None:
        """Keep the target."""
        self.url += url
        self.grow_head(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header."""
        self.grow_head(len(name) + len(text))
        self.headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.body_size += len(chunk)
        if self.body_size > self.door.bounds.body_bytes:
            self.refusal = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise ValueError(self.refusal.phrase)
        self.chunks.append(chunk)

    def grow_head(self, size: int) -> None:
        """Bound the head."""
        self.head_size += size
        if self.head_size > self.door.bounds.head_bytes:
            self.refusal = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise ValueError(self.refusal.phrase)

    def on_message_complete(self) -> None:
        """Hand the request over when those before it are answered."""
        self.reading = False
        method = self.parser.get_method().decode('latin-1')
        visit = Visit(line=self, method=method)
        visit.target = self.url.decode('latin-1')
        visit.path = visit.target.partition('?')[0]
        visit.headers = self.headers
        visit.body = b''.join(self.chunks)
        self.chunks = []
        self.queue.append(visit)
        if len(self.queue) == 1:
            self.door.handler(visit)

    def refuse(self, status: HTTPStatus) -> None:
        """Answer what can't be read, and end the connection."""
        self.refusal = status
        if not self.queue:
            self.write(Answer(status=status.value), closing=True)

    def finish(self, visit: Visit, answer: Answer) -> None:
        """Send an answer, and go on with the next request."""
        if not self.queue or self.queue[0] is not visit:
            return
        closing = self.door.closing or visit.ends_line()
        self.queue.popleft()
        self.write(answer, closing=closing)
        if self.queue and not closing:
            self.door.handler(self.queue[0])
        elif self.refusal is not None and not closing:
            self.refuse(self.refusal)

    def write(self, answer: Answer, *, closing: bool) -> None:
        """Write an answer."""
        self.active_s = self.door.timers.now()
        self.transport.write(answer.encoded(closing=closing))
        if closing:
            self.transport.loseConnection()

    def is_stale(self, now_s: float) -> bool:
        """Return whether it was idle, or in a head, for too long."""
        if self.queue:
            return False
        bounds = self.door.bounds
        allowed_s = (
            bounds.head_timeout_s if self.reading else bounds.idle_timeout_s
        )
        return now_s - self.active_s > allowed_s

    def connectionLost(self, _: Any = protocol.connectionDone) -> None:
        """Tell those that work on its requests."""
        self.door.lines.discard(self)
        for visit in self.queue:
            visit.answered = True
            if visit.on_gone is not None:
                visit.on_gone()
        self.queue.clear()
