"""A small HTTP/1.1 server for JSON calls, on the event loop."""

import asyncio
import json
from http import HTTPStatus
from urllib import parse as urls

MAX_CONNECTIONS_WAITING = 512


class Call:
    """A request that was received.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Fields of the query.
        headers: Headers by lower-case name.
        fields: Decoded JSON body; empty without a body.
    """

    def __init__(self, *, head, body):
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ')
        self.method = method
        path, _, query = target.partition('?')
        self.path = path
        self.query = dict(urls.parse_qsl(query, keep_blank_values=True))
        self.headers = read_headers(lines[1:])
        self.fields = json.loads(body) if body else {}


def read_headers(lines):
    """Return the headers of a message by lower-case name."""
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return headers


def encode(status, document):
    """Return a response as bytes."""
    body = json.dumps(document).encode()
    phrase = HTTPStatus(status).phrase
    head = (
        f'HTTP/1.1 {status} {phrase}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class HttpServer:
    """Serves calls on one address until it is closed.

    Attributes:
        handler: Coroutine that returns status and document for a call.
        writers: Open connections.
        server: Listening server; none while closed.
    """

    def __init__(self, *, handler):
        self.handler = handler
        self.writers = set()
        self.server = None

    async def open(self, host, port):
        """Listen, on a free port if `port` is 0; return the port."""
        self.server = await asyncio.start_server(
            self.serve, host, port, backlog=MAX_CONNECTIONS_WAITING
        )
        return self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening, and reset every connection."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve the calls of one connection, one after another."""
        self.writers.add(writer)
        try:
            await self.serve_calls(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_calls(self, reader, writer):
        """Read calls and write responses until the connection ends."""
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            headers = read_headers(head.decode('latin-1').split('\r\n')[1:])
            size = int(headers.get('content-length', 0))
            call = Call(head=head, body=await reader.readexactly(size))
            status, document = await self.handler(call)
            writer.write(encode(status, document))
            await writer.drain()
