"""Requests and responses of the HTTP listener, and the bounds on them."""

import dataclasses
import types
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, Protocol

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


class Connection(Protocol):
    """A connection on which requests arrive."""

    def finish(self, request: 'Request', answer: Answer) -> None:
        """Send the response to a request."""


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

    def __init__(self, *, connection: 'Connection', method: str) -> None:
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

    def release(self) -> None:
        """Drop what its handler has read, while the response is awaited."""
        self.body = b''
        if self.wants_close():
            self.headers = {'connection': 'close'}
        else:
            self.headers = {}

    def answer(self, answer: Answer) -> None:
        """Send the response, once, unless the client has disconnected."""
        if not self.answered:
            self.answered = True
            self.connection.finish(self, answer)
