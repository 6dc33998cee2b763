"""Receives requests from the bytes of a connection, within bounds."""

import collections
from typing import Any

import httptools

from guavaroad.adapters import http_exchange
from guavaroad.domain import client_limits, work_turns


class RequestReceiver:
    """Parses the requests of one connection.

    The parser keeps names and values until they end, and skips blank lines,
    without a call.  So the bytes that are fed to it are counted as well.

    Attributes:
        bounds: Bounds on requests.
        queue: Receives each complete request.
        connection: Connection that the requests are answered on.
        parser: Parser of the incoming requests; none after an error.
        url: Target of the request being received.
        headers: Headers of the request being received.
        body: Body of the request being received.
        head_size: Bytes of its target and headers so far.
        receiving: Whether a request is being received.
        read_s: When the last part was received, in seconds.
        begun_s: When the current request began, in seconds.
        framing_bytes: Bytes fed since the last part of a body or request.
        callbacks: Calls of the parser for the current part of the input.
        error: Why a request was refused; set, nothing more is parsed.
    """

    def __init__(
        self,
        *,
        bounds: http_exchange.Bounds,
        queue: collections.deque[http_exchange.Request],
        connection: http_exchange.Connection,
    ) -> None:
        self.bounds = bounds
        self.queue = queue
        self.connection = connection
        self.parser: Any = httptools.HttpRequestParser(self)
        self.url = b''
        self.headers: dict[str, str] = {}
        self.body: bytes | bytearray = b''
        self.head_size = 0
        self.receiving = False
        self.read_s = float(0)
        self.begun_s = float(0)
        self.framing_bytes = 0
        self.callbacks = 0
        self.error: client_limits.Reason | None = None

    def receive(self, part: bytes) -> int:
        """Parse a part of the input.

        Args:
            part: Bytes that follow those received before.

        Returns:
            The work, in the unit of `work_turns`.
        """
        self.callbacks = 0
        size = len(part)
        self.framing_bytes += size
        try:
            self.parser.feed_data(part)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.error = self.error or client_limits.Reason.MALFORMED
        if self.framing_bytes > client_limits.BLANK_BYTES:
            self.check_framing()
        return size + work_turns.CALLBACK_WORK * self.callbacks

    def check_framing(self) -> None:
        """Check the bytes that the parser may have kept or skipped."""
        if self.error is not None:
            return
        if not self.receiving:
            self.error = client_limits.Reason.BLANK_LINES
        elif self.framing_bytes > client_limits.raw_head_limit(
            self.bounds.head_bytes
        ):
            self.error = client_limits.Reason.HEAD

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.url = b''
        self.headers = {}
        self.body = b''
        self.head_size = 0
        self.receiving = True
        self.begun_s = self.read_s

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.url += url
        self.head_size += len(url)
        if self.head_size > self.bounds.head_bytes:
            self.error = client_limits.Reason.HEAD
            raise ValueError(self.error.value)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        self.callbacks += 1
        self.head_size += len(name) + len(text)
        if self.head_size > self.bounds.head_bytes:
            self.error = client_limits.Reason.HEAD
            raise ValueError(self.error.value)
        self.headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body, within the bound."""
        self.callbacks += 1
        self.framing_bytes = 0
        if self.body:
            self.body = (
                bytearray(self.body)
                if isinstance(self.body, bytes)
                else self.body
            )
            self.body += chunk
        else:
            self.body = chunk
        if len(self.body) > self.bounds.body_bytes:
            self.error = client_limits.Reason.BODY
            raise ValueError(self.error.value)

    def on_message_complete(self) -> None:
        """Pass on a complete request."""
        self.receiving = False
        self.framing_bytes = 0
        request = http_exchange.Request(
            connection=self.connection,
            method=self.parser.get_method().decode('latin-1'),
        )
        request.target = self.url.decode('latin-1')
        request.path = request.target.partition('?')[0]
        request.headers = self.headers
        request.body = bytes(self.body)
        self.queue.append(request)
        # The request alone keeps them, and only until it is handled.
        self.url = b''
        self.headers = {}
        self.body = b''

    def drop(self) -> None:
        """Drop what is kept of a request; nothing more is parsed."""
        self.parser = None
        self.receiving = False
        self.headers = {}
        self.body = b''

    def held_bytes(self) -> int:
        """Return the memory of a request that is being received."""
        if not self.receiving:
            return 0
        headers = client_limits.HEADER_BYTES * len(self.headers)
        return headers + self.head_size + self.framing_bytes + len(self.body)
