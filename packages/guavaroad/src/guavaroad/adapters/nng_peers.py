"""Peer bus over NNG push and pull sockets.

One pull socket receives the frames of all peers, and one push socket dials
each peer.  The push and pull protocols never resend a frame.  The messages to
one peer are collected for one tick and sent in one frame.
"""

import collections
import dataclasses
import types
from collections.abc import Callable
from typing import Any, Final

import loguru
import msgspec
import pynng
from twisted.internet import error

from guavaroad.adapters import peer_wire
from guavaroad.domain import identity, names
from guavaroad.ports import peers, timers

DEFAULT_TICK_S: Final = 0.005
RETRY_PERIOD_S: Final = 0.05
UNREACHABLE_TIMEOUT_S: Final = 1
MAX_QUEUED_MESSAGES: Final = 4096
_SEND_BUFFER_FRAMES: Final = 16
_RECEIVE_BUFFER_FRAMES: Final = 64
_MAX_RECEIVE_BYTES: Final = 2 * peer_wire.MAX_FRAME_BYTES
_RECONNECT_MIN_MS: Final = 100
_RECONNECT_MAX_MS: Final = 1000
_FRAMES_PER_READ: Final = 32
_LOG_PREFIX: Final = 'bus'
_LOG: Final = loguru.logger.bind(part=_LOG_PREFIX)
# Thread counts by the number of NNG's init parameter, which pynng has no
# names for.
_NNG_THREAD_COUNTS: Final = types.MappingProxyType({1: 2, 2: 1, 3: 1, 4: 1})

StateOf = Callable[[identity.Incarnation], peers.PeerState]


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Counters of the bus since its start.

    Attributes:
        frames_sent: Frames passed to NNG.
        bytes_sent: Bytes of those frames.
        messages_sent: Messages in those frames.
        frames_received: Frames received from NNG.
        bytes_received: Bytes of those frames.
        messages_received: Messages passed to subscribers.
        dropped_full: Messages dropped for a full queue or their size.
        dropped_unreachable: Messages dropped for lack of a connection.
        rejected: Frames and messages dropped on receipt, by reason.
    """

    frames_sent: int = 0
    bytes_sent: int = 0
    messages_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0
    messages_received: int = 0
    dropped_full: int = 0
    dropped_unreachable: int = 0
    rejected: 'collections.Counter[str]' = dataclasses.field(
        default_factory=collections.Counter
    )

    def as_dict(self) -> dict[str, Any]:
        """Return the counters for the state dump."""
        # dataclasses.asdict would rebuild the inner Counter from its pairs,
        # counting the pairs themselves.
        counts = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        return counts | {'rejected': dict(self.rejected)}


def limit_threads() -> None:
    """Limit NNG's threads; has an effect only before the first socket."""
    for parameter, threads in _NNG_THREAD_COUNTS.items():
        pynng.lib.nng_init_set_parameter(parameter, threads)


class PeerLink:
    """Queue and push socket of one peer.

    Attributes:
        address: Address of the peer.
        waiting: Encoded messages that are not sent yet.
        queued_since_s: Time since which messages are waiting, in seconds.
        socket: Push socket that dials the peer.
    """

    def __init__(self, *, address: names.PeerAddress) -> None:
        self.address = address
        self.waiting: list[bytes] = []
        self.queued_since_s: float = 0
        self.socket = pynng.Push0(
            send_buffer_size=_SEND_BUFFER_FRAMES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        self.socket.dial(f'tcp://{address}', block=False)

    def add(self, encoded: bytes, now_s: float) -> bool:
        """Queue a message.

        Args:
            encoded: The message.
            now_s: Current time, in seconds.

        Returns:
            Whether the queue had space.
        """
        if len(self.waiting) >= MAX_QUEUED_MESSAGES:
            return False
        if not self.waiting:
            self.queued_since_s = now_s
        self.waiting.append(encoded)
        return True

    def pop_batch(self) -> list[bytes]:
        """Remove and return the oldest messages that fit in one frame."""
        size = 0
        count = 0
        for encoded in self.waiting:
            size += len(encoded)
            if size > peer_wire.MAX_FRAME_BYTES // 2:
                break
            count += 1
        batch = self.waiting[: max(count, 1)]
        self.waiting = self.waiting[len(batch) :]
        return batch

    def connected(self) -> bool:
        """Return whether the socket has a connection."""
        return bool(self.socket.pipes)


class NngBus:
    """Peer bus of one process.

    Attributes:
        tick_s: How long messages are collected into a frame, in seconds.
        counters: Counters for the state dump.
        links: Links by peer address.
        handlers: Subscribed handlers by message type.
        state_of: Returns the membership state of a sender.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        timer_service: timers.TimerService,
        sender: peer_wire.Sender,
        tick_s: float = DEFAULT_TICK_S,
    ) -> None:
        self.reactor = reactor
        self.timers = timer_service
        self.sender = sender
        self.tick_s = tick_s
        self.counters = Counters()
        self.links: dict[names.PeerAddress, PeerLink] = {}
        self.handlers: dict[type[msgspec.Struct], peers.Handler] = {}
        self.state_of: StateOf = _always_alive
        self.flush_timer: timers.Timer | None = None
        self.receiver: FrameReceiver | None = None

    def subscribe(
        self, kind: type[msgspec.Struct], handler: peers.Handler
    ) -> None:
        """Register the handler of a message type; call before `start`."""
        self.handlers[kind] = handler

    def start(self) -> None:
        """Open the listening socket."""
        limit_threads()
        self.receiver = FrameReceiver(
            address=self.sender.peer_address, on_frame=self.frame_received
        )
        self.receiver.decoder = peer_wire.FrameDecoder(
            kinds=tuple(self.handlers)
        )
        self.reactor.addReader(self.receiver)

    def stop(self) -> None:
        """Send the queued messages and close every socket."""
        self.flush()
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        if self.receiver is not None:
            self.reactor.removeReader(self.receiver)
            self.receiver.socket.close()
        for address in tuple(self.links):
            self.disconnect(address)

    def send(self, to: names.PeerAddress, message: msgspec.Struct) -> None:
        """Queue a message; it may be lost and is never resent."""
        link = self.links.get(to)
        if link is None:
            link = PeerLink(address=to)
            self.links[to] = link
        encoded = peer_wire.encode_message(message)
        too_large = len(encoded) > peer_wire.MAX_FRAME_BYTES // 2
        if too_large or not link.add(encoded, self.timers.now()):
            self.counters.dropped_full += 1
            return
        self.schedule_flush(self.tick_s)

    def disconnect(self, address: names.PeerAddress) -> None:
        """Close the link to a peer; a later send dials again."""
        link = self.links.pop(address, None)
        if link is not None:
            link.socket.close()

    def schedule_flush(self, delay_s: float) -> None:
        """Schedule a flush after a delay, unless one is scheduled."""
        if self.flush_timer is None:
            self.flush_timer = self.timers.call_after(delay_s, self.flush)

    def flush(self) -> None:
        """Send the queued messages of every connected peer."""
        self.flush_timer = None
        for link in self.links.values():
            if link.connected():
                self.flush_link(link)
            else:
                self.drop_expired(link)
        if any(peer_link.waiting for peer_link in self.links.values()):
            self.schedule_flush(RETRY_PERIOD_S)

    def flush_link(self, link: PeerLink) -> None:
        """Pass the queued messages of one peer to NNG."""
        while link.waiting:
            batch = link.pop_batch()
            frame = peer_wire.encode_frame(self.sender, batch)
            try:
                link.socket.send(frame, block=False)
            except pynng.TryAgain:
                self.counters.dropped_full += len(batch)
                continue
            self.counters.frames_sent += 1
            self.counters.bytes_sent += len(frame)
            self.counters.messages_sent += len(batch)

    def drop_expired(self, link: PeerLink) -> None:
        """Drop the queue if the peer stayed unreachable too long."""
        if (
            link.waiting
            and self.timers.now() - link.queued_since_s > UNREACHABLE_TIMEOUT_S
        ):
            self.counters.dropped_unreachable += len(link.waiting)
            link.waiting.clear()

    def frame_received(
        self,
        frame: bytes,
        decoded: peer_wire.DecodedFrame | peer_wire.Rejection,
    ) -> None:
        """Deliver the messages of a frame, or count its rejection."""
        self.counters.frames_received += 1
        self.counters.bytes_received += len(frame)
        match decoded:
            case peer_wire.Rejection():
                self.counters.rejected[decoded.value] += 1
            case peer_wire.DecodedFrame():
                unknown_kind = peer_wire.Rejection.UNKNOWN_KIND.value
                self.counters.rejected[unknown_kind] += decoded.unknown_kind
                self.deliver(decoded)

    def deliver(self, decoded: peer_wire.DecodedFrame) -> None:
        """Call the handlers; one that raises does not stop the others."""
        incarnation = decoded.sender.incarnation()
        peer = peers.Peer(
            incarnation=incarnation,
            peer_address=decoded.sender.peer_address,
            state=self.state_of(incarnation),
        )
        for message in decoded.messages:
            self.counters.messages_received += 1
            try:
                self.handlers[type(message)](peer, message)
            except Exception:  # noqa: BLE001 - isolate failing handlers
                _LOG.exception(
                    'handler of message {} failed', type(message).__name__
                )

    def describe(self) -> dict[str, Any]:
        """Return the section of the bus in the state dump."""
        return {
            'links': {
                link.address: {
                    'connected': link.connected(),
                    'waiting': len(link.waiting),
                }
                for link in self.links.values()
            },
            'counters': self.counters.as_dict(),
        }


class FrameReceiver:
    """The pull socket, read by the reactor through its descriptor.

    Attributes:
        on_frame: Called with each frame and its decoded form.
        decoder: Decoder of the frames.
        socket: Listening pull socket.
        descriptor: Descriptor that is readable while frames wait.
    """

    def __init__(
        self,
        *,
        address: names.PeerAddress,
        on_frame: Callable[
            [bytes, 'peer_wire.DecodedFrame | peer_wire.Rejection'], None
        ],
    ) -> None:
        self.on_frame = on_frame
        self.decoder = peer_wire.FrameDecoder(kinds=())
        self.socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER_FRAMES,
            recv_max_size=_MAX_RECEIVE_BYTES,
        )
        try:
            self.socket.listen(f'tcp://{address}')
        except pynng.NNGException as listen_error:
            host, _, port = address.rpartition(':')
            raise error.CannotListenError(
                host, int(port), listen_error
            ) from listen_error
        self.descriptor = self.socket.recv_fd

    def fileno(self) -> int:
        """Return the descriptor for the reactor."""
        return int(self.descriptor)

    def doRead(self) -> None:  # noqa: N802 - Twisted interface
        """Read a bounded number of waiting frames."""
        for _ in range(_FRAMES_PER_READ):
            frame = receive_frame(self.socket)
            if frame is None:
                return
            self.on_frame(frame, self.decoder.decode(frame))

    def connectionLost(self, _: object) -> None:
        """Ignore the reactor's shutdown notification."""

    def logPrefix(self) -> str:  # noqa: N802 - Twisted interface
        """Return the prefix for Twisted's log."""
        return _LOG_PREFIX


def receive_frame(socket: pynng.Pull0) -> bytes | None:
    """Return the next frame, or None if none is waiting."""
    try:
        return bytes(socket.recv(block=False))
    except pynng.TryAgain:
        return None
    except RuntimeError:
        # pynng fails on the null pointer of an empty frame.
        return b''


def _always_alive(_: identity.Incarnation) -> peers.PeerState:
    return peers.PeerState.ALIVE
