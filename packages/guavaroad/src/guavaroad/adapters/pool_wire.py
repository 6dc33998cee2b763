"""Links between the allocator and the owners: length-prefixed msgpack.

A frame holds the messages that were sent to an instance in one iteration of
the event loop, or a part of them: an owner with large jobs declares more after
a takeover than one frame may hold.  The links are plain TCP because a round
trip over NNG takes 0.33 ms of processor time, five times as much, and ten
threads per process.
"""

import struct
from collections.abc import Callable, Iterator
from typing import Any, Final

import msgspec
from twisted.internet import protocol
from twisted.protocols import basic

from guavaroad.domain import json_input
from guavaroad.domain.pool import frame_limits, peer_messages
from guavaroad.ports import logs

# Size from which messages are sent in several frames, in bytes. The receiver
# notices a frame only when it is complete: a link of 12.5 Mbit/s needs 42 ms
# for one, less than the silence after which a link counts as lost.
FRAME_BYTES: Final = 65_536
# Array of at most 2 ** 32 - 1 items in msgpack.
_ARRAY_HEAD: Final = struct.Struct('>BI')
_ARRAY_TAG: Final = 0xDD

Message = peer_messages.ToInstance | peer_messages.ToAllocator
_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[Message])
# Errors for numbers beyond 64 bits, and for text that UTF-8 can't hold.
_ENCODE_ERRORS: Final = (OverflowError, ValueError)
_log: Final = logs.logger_of('links')


class Link(basic.Int32StringReceiver):
    """A connection between two instances.

    Attributes:
        on_connected: Called with the link once it is connected.
        on_message: Called with each received message.
        on_lost: Called once when the connection is lost.
        outbox: Messages sent in this iteration of the event loop.
        is_open: Whether the link is connected.
        sent_s: Time of the last frame that was sent, in seconds.
    """

    MAX_LENGTH = frame_limits.MAX_FRAME_BYTES
    # The type stubs of Twisted declare only the general transport.
    transport: Any

    def __init__(
        self, *, reactor: Any, on_connected: Callable[['Link'], object]
    ) -> None:
        self.reactor = reactor
        self.on_connected = on_connected
        self.on_message: Callable[[Any], object] = _ignore_message
        self.on_lost: Callable[[], object] = _ignore_loss
        self.outbox: list[Message] = []
        self.is_open = False
        self.sent_s = float(0)

    def connectionMade(self) -> None:
        """Report the new link."""
        self.transport.setTcpNoDelay(True)
        self.is_open = True
        self.on_connected(self)

    def send(self, message: Message) -> None:
        """Queue a message for the next iteration of the event loop."""
        if not self.is_open:
            return
        if not self.outbox:
            self.reactor.callLater(0, self.flush)
        self.outbox.append(message)

    def flush(self) -> None:
        """Send the queued messages in as few frames as are needed."""
        batch = self.outbox
        self.outbox = []
        if batch and self.is_open:
            self.sent_s = self.reactor.seconds()
            for frame in encode_batch(batch):
                self.sendString(frame)

    def stringReceived(self, string: bytes) -> None:
        """Decode a frame, and close the link if it is malformed."""
        try:
            received = _DECODER.decode(string)
        except json_input.DECODE_ERRORS as error:
            _log.warning('closing link after malformed frame: {}', error)
            self.transport.abortConnection()
            return
        for message in received:
            if self.is_open:
                self.on_message(message)

    def close(self) -> None:
        """Send the queued messages and close the connection."""
        self.flush()
        if self.is_open:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.is_open:
            self.transport.abortConnection()

    def connectionLost(self, _: Any = protocol.connectionDone) -> None:
        """Report the loss, once."""
        if self.is_open:
            self.is_open = False
            self.on_lost()


class LinkServer(protocol.ServerFactory):
    """Accepts links from allocators and candidates."""

    noisy = False

    def __init__(
        self, *, reactor: Any, on_connected: Callable[[Link], object]
    ) -> None:
        self.reactor = reactor
        self.on_connected = on_connected

    def buildProtocol(self, _: Any) -> Link:
        """Return the protocol for a new link."""
        return Link(reactor=self.reactor, on_connected=self.on_connected)


class LinkDialler(protocol.ClientFactory):
    """Opens one link."""

    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        on_connected: Callable[[Link], object],
        on_failed: Callable[[], object],
    ) -> None:
        self.reactor = reactor
        self.on_connected = on_connected
        self.on_failed = on_failed

    def buildProtocol(self, _: Any) -> Link:
        """Return the protocol for a new link."""
        return Link(reactor=self.reactor, on_connected=self.on_connected)

    def clientConnectionFailed(self, *_: Any) -> None:
        """Report the failed attempt."""
        self.on_failed()


def encode_batch(batch: list[Message]) -> Iterator[bytes]:
    """Yield the frames of messages, without those that no frame can hold."""
    try:
        encoded = _ENCODER.encode(batch)
    except _ENCODE_ERRORS as error:
        _log.error('dropping messages that do not fit a frame: {}', error)
    else:
        if len(encoded) <= FRAME_BYTES:
            yield encoded
            return
    yield from join_frames(filter(None, map(encode_message, batch)))


def encode_message(message: Message) -> bytes:
    """Return an encoded message; empty if no frame can hold it."""
    try:
        encoded = _ENCODER.encode(message)
    except _ENCODE_ERRORS as error:
        _log.error('dropping {}: {}', type(message).__name__, error)
        return b''
    if len(encoded) + _ARRAY_HEAD.size > frame_limits.MAX_FRAME_BYTES:
        _log.error(
            'dropping {}: {} bytes do not fit a frame',
            type(message).__name__,
            len(encoded),
        )
        return b''
    return encoded


def join_frames(encoded: Iterator[bytes]) -> Iterator[bytes]:
    """Yield frames of encoded messages; a large message has its own."""
    pending: list[bytes] = []
    size = 0
    for item in encoded:
        if pending and size + len(item) > FRAME_BYTES - _ARRAY_HEAD.size:
            yield frame_of(pending)
            pending = []
            size = 0
        pending.append(item)
        size += len(item)
    if pending:
        yield frame_of(pending)


def frame_of(encoded: list[bytes]) -> bytes:
    """Return a frame of encoded messages."""
    head = _ARRAY_HEAD.pack(_ARRAY_TAG, len(encoded))
    return head + b''.join(encoded)


def _ignore_message(_: Any) -> None:
    """Ignore a message received before a handler is set."""


def _ignore_loss() -> None:
    """Ignore a loss that happens before a handler is set."""
