"""Links between the allocator and the owners: length-prefixed msgpack.

A frame holds the messages that were sent to an instance in one iteration of
the event loop.  The links are plain TCP because a round trip over NNG takes
0.33 ms of processor time, five times as much, and ten threads per process.
"""

from collections.abc import Callable
from typing import Any, Final

import msgspec
from twisted.internet import protocol
from twisted.protocols import basic

from guavaroad.domain import json_input
from guavaroad.domain.pool import peer_messages
from guavaroad.ports import logs

# An owner declares some hundred jobs of 4 KB after a takeover.
MAX_FRAME_BYTES: Final = 8_388_608

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

    MAX_LENGTH = MAX_FRAME_BYTES
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
        """Send the queued messages in one frame."""
        batch = self.outbox
        self.outbox = []
        if batch and self.is_open:
            self.sent_s = self.reactor.seconds()
            self.sendString(encode_batch(batch))

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


def encode_batch(batch: list[Message]) -> bytes:
    """Return messages as a frame, without those that it can't hold."""
    try:
        return _ENCODER.encode(batch)
    except _ENCODE_ERRORS as error:
        _log.error('dropping messages that do not fit a frame: {}', error)
    return _ENCODER.encode(list(filter(is_encodable, batch)))


def is_encodable(message: Message) -> bool:
    """Return whether a frame can hold a message."""
    try:
        _ENCODER.encode(message)
    except _ENCODE_ERRORS as error:
        _log.error('dropping {}: {}', type(message).__name__, error)
        return False
    return True


def _ignore_message(_: Any) -> None:
    """Ignore a message received before a handler is set."""


def _ignore_loss() -> None:
    """Ignore a loss that happens before a handler is set."""
