"""HTTP/1.1 over loopback, with connections that a partition holds up."""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import Awaitable, Callable

from standins_2 import partitions

HOST = '127.0.0.1'
CHUNK_BYTES = 65536
LISTEN_BACKLOG = 512
OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request that a server has received.

    Attributes:
        target: Path with its query.
        headers: Headers by lower-case name.
        body: Body.
    """

    target: str
    headers: dict[str, str]
    body: bytes

    def document(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body)


class Channel:
    """An accepted connection; a partition holds up its bytes.

    Attributes:
        reader: Bytes that arrive.
        writer: Bytes that are sent.
        zone: Zone of the server.
        partition: The partition.
        ports: Ports of the client and the server.
        source: Zone of the client; none before the first partition.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        zone: str,
        partition: partitions.Partition,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.zone = zone
        self.partition = partition
        self.ports = (
            writer.get_extra_info('peername')[1],
            writer.get_extra_info('sockname')[1],
        )
        self.source: str | None = None

    async def pass_partition(self) -> None:
        """Wait until no partition is between the two ends."""
        while self.is_separated():
            await self.partition.wait_healed()

    def is_separated(self) -> bool:
        """Return whether a partition is between the two ends."""
        if not self.partition.cut_zone:
            return False
        if self.source is None:
            self.source = self.partition.zone_of(*self.ports)
        return self.partition.separates(self.source, self.zone)

    async def receive(self) -> Request | None:
        """Return the next request, or none at the end of the connection."""
        line = await self.reader.readline()
        if not line:
            return None
        headers = await read_headers(self.reader)
        size = int(headers.get('content-length', '0'))
        body = await self.reader.readexactly(size)
        await self.pass_partition()
        if self.writer.is_closing():
            # The sender has given up: what was held up is lost.
            raise ConnectionResetError
        return Request(
            target=line.decode().split()[1], headers=headers, body=body
        )

    async def respond(self, status: int, document: dict) -> None:
        """Send a response."""
        await self.pass_partition()
        body = json.dumps(document).encode()
        head = [
            f'HTTP/1.1 {status} -',
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
        ]
        text = '\r\n'.join(head)
        self.writer.write(f'{text}\r\n\r\n'.encode() + body)
        await self.writer.drain()

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


Handler = Callable[[Channel, Request], Awaitable[None]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Server:
    """A server on a free port.

    Attributes:
        zone: Its zone.
        partition: The partition.
        handler: Called with each request.
        port: Its port.
        channels: Open connections.
        listener: Accepts connections.
    """

    zone: str
    partition: partitions.Partition
    handler: Handler
    port: int = 0
    channels: set[Channel] = dataclasses.field(default_factory=set)
    listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self.listener = await listen(self.on_connected)
        self.port = port_of(self.listener)

    async def stop(self) -> None:
        """Stop to listen."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    async def on_connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        channel = Channel(
            reader=reader,
            writer=writer,
            zone=self.zone,
            partition=self.partition,
        )
        self.channels.add(channel)
        with contextlib.suppress(OSError, EOFError):
            await self.serve(channel)
        self.channels.discard(channel)
        writer.close()

    async def serve(self, channel: Channel) -> None:
        """Handle the requests of a connection, one after the other."""
        request = await channel.receive()
        while request is not None:
            await self.handler(channel, request)
            request = await channel.receive()

    def address(self) -> str:
        """Return its host and port."""
        return f'{HOST}:{self.port}'

    def reset(self) -> None:
        """Reset all connections."""
        for channel in tuple(self.channels):
            channel.abort()


@dataclasses.dataclass(slots=True, kw_only=True)
class Proxy:
    """Forwards connections to a port, unless a partition holds them up.

    Attributes:
        zone: Zone of the target.
        partition: The partition.
        target: Port of the target.
        port: Its own port.
    """

    zone: str
    partition: partitions.Partition
    target: int
    port: int = 0

    async def start(self) -> None:
        """Start to listen."""
        self.port = port_of(await listen(self.on_connected))

    async def on_connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        channel = Channel(
            reader=reader,
            writer=writer,
            zone=self.zone,
            partition=self.partition,
        )
        try:
            inner = await asyncio.open_connection(HOST, self.target)
        except OSError:
            channel.abort()
            return
        await asyncio.gather(
            forward(channel, reader, inner[1]),
            forward(channel, inner[0], writer),
        )


async def forward(
    channel: Channel,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Forward one direction of a connection."""
    with contextlib.suppress(OSError):
        chunk = await reader.read(CHUNK_BYTES)
        while chunk:
            await channel.pass_partition()
            writer.write(chunk)
            await writer.drain()
            chunk = await reader.read(CHUNK_BYTES)
    await channel.pass_partition()
    writer.close()


async def listen(
    on_connected: Callable[..., Awaitable[None]],
) -> asyncio.Server:
    """Listen on a free port."""
    return await asyncio.start_server(
        on_connected, HOST, 0, backlog=LISTEN_BACKLOG
    )


def port_of(server: asyncio.Server) -> int:
    """Return the port of a server."""
    return server.sockets[0].getsockname()[1]


async def read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read the headers of a message."""
    headers = {}
    line = await reader.readline()
    while line.strip():
        name, _, text = line.decode().partition(':')
        headers[name.lower()] = text.strip()
        line = await reader.readline()
    return headers


async def call(
    port: int, method: str, path: str, document: object, headers: dict
) -> tuple[int, str]:
    """Send a request on a new connection; return status and body."""
    reader, writer = await asyncio.open_connection(HOST, port)
    with contextlib.closing(writer):
        body = b'' if document is None else json.dumps(document).encode()
        fields = {'Content-Length': len(body)} | headers
        lines = [f'{method} {path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in fields.items())
        text = '\r\n'.join(lines)
        writer.write(f'{text}\r\n\r\n'.encode() + body)
        status = int((await reader.readline()).split()[1])
        size = int((await read_headers(reader))['content-length'])
        answer = await reader.readexactly(size)
    return status, answer.decode()
