"""Crowds of clients outside the limits, over loopback connections."""

import dataclasses
import selectors
import socket
import time
import types
from collections.abc import Iterator

# A crowd that is still sending after this time is closed, in seconds.
MAX_CROWD_S = 60
# A crowd none of whose clients can send ends after this time, in seconds.
MAX_STALL_S = 5
SELECT_S = 0.2
# The sockets of a crowd keep little, so that the process has to read the rest.
SOCKET_BYTES = 16_384
PIECE_BYTES = 65_536
HEAD = b'POST /q1/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n'
CHUNKED = b'%sTransfer-Encoding: chunked\r\n\r\n' % HEAD
GET = b'GET /q1/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n'
# Just short of the limit of the configuration.
BODY_BYTES = 262_000
ONE_BYTE_CHUNK = b'1\r\nx\r\n'
TWO_BYTE_CHUNK = b'2\r\nxx\r\n'
LARGE_CHUNK = b'fa0\r\n%s\r\n' % (b'x' * 4000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """What each client of a crowd sends.

    Attributes:
        start: Sent once.
        unit: Sent again and again after it.
        total: Bytes of all repetitions together.
    """

    start: bytes
    unit: bytes
    total: int

    def pieces(self) -> Iterator[bytes]:
        """Yield the message in pieces of about 64 KiB."""
        yield self.start
        count = max(PIECE_BYTES // len(self.unit), 1)
        left = self.total // len(self.unit)
        while left > 0:
            yield self.unit * min(count, left)
            left -= count


MEGABYTE = 1_000_000
MESSAGES = types.MappingProxyType(
    {
        'a header line without end': Message(
            start=b'%sX: ' % HEAD, unit=b'x', total=2 * MEGABYTE
        ),
        'a request line without end': Message(
            start=b'GET /', unit=b'x', total=2 * MEGABYTE
        ),
        'header lines without end': Message(
            start=HEAD, unit=b'X: y\r\n', total=2 * MEGABYTE
        ),
        'a trailer without end': Message(
            start=b'%s0\r\nX: ' % CHUNKED, unit=b'x', total=2 * MEGABYTE
        ),
        'large chunks, but no end': Message(
            start=CHUNKED, unit=LARGE_CHUNK, total=BODY_BYTES
        ),
        'a body with a length, but no end': Message(
            start=b'%sContent-Length: 262100\r\n\r\n' % HEAD,
            unit=b'x',
            total=BODY_BYTES,
        ),
        'chunks of 2 bytes, but no end': Message(
            start=CHUNKED,
            unit=TWO_BYTE_CHUNK,
            total=BODY_BYTES // 2 * len(TWO_BYTE_CHUNK),
        ),
        'a chunk extension without end': Message(
            start=b'%s1;' % CHUNKED, unit=b'x', total=2 * MEGABYTE
        ),
        'empty lines': Message(start=b'\r\n', unit=b'\r\n', total=2 * MEGABYTE),
        'line feeds': Message(start=b'\n', unit=b'\n', total=2 * MEGABYTE),
        'a request, then empty lines': Message(
            start=GET, unit=b'\r\n', total=2 * MEGABYTE
        ),
        'requests, but reads no answer': Message(
            start=GET, unit=GET, total=len(GET) * 40_000
        ),
        'a slow header': Message(start=b'%sX: ' % HEAD, unit=b'x', total=0),
        'nothing': Message(start=b'', unit=b'x', total=0),
    }
)


class Crowd:
    """Clients that send the same message at once and stay connected.

    Attributes:
        sockets: Their connections, including those that the process closed.
    """

    def __init__(self, address, *, count, message):
        self.message = MESSAGES[message]
        self.sockets = [self.connect(address) for _ in range(count)]

    def connect(self, address):
        """Return a new connection."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        connection.settimeout(MAX_CROWD_S)
        connection.connect(address)
        connection.setblocking(False)
        return connection

    def send(self, is_over):
        """Send until every client has sent its message or was closed.

        Args:
            is_over: Called without arguments; ends the sending early.
        """
        selector = selectors.DefaultSelector()
        for connection in self.sockets:
            state = {'pieces': self.message.pieces(), 'rest': b''}
            selector.register(connection, selectors.EVENT_WRITE, state)
        now_s = time.monotonic()
        ended_s = now_s + MAX_CROWD_S
        stalled_s = now_s + MAX_STALL_S
        while selector.get_map() and now_s < min(ended_s, stalled_s):
            if is_over():
                break
            is_sending = send_round(selector)
            now_s = time.monotonic()
            if is_sending:
                stalled_s = now_s + MAX_STALL_S
        selector.close()

    def close(self):
        """Close the connections."""
        for connection in self.sockets:
            connection.close()


def send_round(selector):
    """Send a part for each client that can; return whether any could."""
    events = selector.select(SELECT_S)
    for key, _ in events:
        if not send_part(key.fileobj, key.data):
            selector.unregister(key.fileobj)
    return bool(events)


def send_part(connection, state):
    """Send what the connection takes; return whether more is to be sent."""
    state['rest'] = state['rest'] or next(state['pieces'], b'')
    if not state['rest']:
        return False
    try:
        sent = connection.send(state['rest'])
    except BlockingIOError:
        return True
    except OSError:
        return False
    state['rest'] = state['rest'][sent:]
    return True
