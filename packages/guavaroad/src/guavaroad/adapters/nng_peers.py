"""Peer bus over NNG push and pull sockets.

One pull socket takes frames from every peer, and one push socket dials each
peer.  Neither protocol ever sends a frame again.  The messages to one peer
are collected for one tick and leave in one frame.
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
RETRY_TICK_S: Final = 0.05
HOLD_S: Final = 1
MAX_WAITING: Final = 4096
_SEND_FRAMES: Final = 16
_RECEIVE_FRAMES: Final = 64
_RECEIVE_BYTES: Final = 2 * peer_wire.MAX_FRAME_BYTES
_RECONNECT_MIN_MS: Final = 100
_RECONNECT_MAX_MS: Final = 1000
_FRAMES_PER_WAKE: Final = 32
_LOG_PREFIX: Final = 'bus'
_LOG: Final = loguru.logger.bind(part=_LOG_PREFIX)
# Numbers of NNG's start-up parameters, which pynng does not name, and the
# operating-system threads that each kind gets.
_NNG_THREADS: Final = types.MappingProxyType({1: 2, 2: 1, 3: 1, 4: 1})

StateOf = Callable[[identity.Incarnation], peers.PeerState]


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Work of the bus since the start.

    Attributes:
        frames_sent: Frames handed to NNG.
        bytes_sent: Bytes of those frames.
        messages_sent: Messages in those frames.
        frames_received: Frames taken from NNG.
        bytes_received: Bytes of those frames.
        messages_received: Messages handed to subscribers.
        dropped_full: Messages dropped for a full queue.
        dropped_unreachable: Messages dropped for want of a connection.
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
        """Return the counts for the state dump."""
        # dataclasses.asdict would count the pairs of the inner counter.
        counts = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        return counts | {'rejected': dict(self.rejected)}


def limit_threads() -> None:
    """Bound NNG's threads; only the call before the first socket counts."""
    for parameter, threads in _NNG_THREADS.items():
        pynng.lib.nng_init_set_parameter(parameter, threads)


class Link:
    """The way to one peer: its waiting messages and its push socket."""

    def __init__(self, *, address: names.PeerAddress) -> None:
        self.address = address
        self.waiting: list[bytes] = []
        self.oldest_s: float = 0
        self.socket = pynng.Push0(
            send_buffer_size=_SEND_FRAMES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        self.socket.dial(f'tcp://{address}', block=False)

    def add(self, encoded: bytes, now_s: float) -> bool:
        """Queue a message.

        Args:
            encoded: The message.
            now_s: Present time, seconds.

        Returns:
            Whether there was room.
        """
        if len(self.waiting) >= MAX_WAITING:
            return False
        if not self.waiting:
            self.oldest_s = now_s
        self.waiting.append(encoded)
        return True

    def take_batch(self) -> list[bytes]:
        """Remove and return the messages that fit one frame."""
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
        """Return whether a connection is up."""
        return bool(self.socket.pipes)


class NngBus:
    """Peer bus of one process."""

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
        self.links: dict[names.PeerAddress, Link] = {}
        self.handlers: dict[type[msgspec.Struct], peers.Handler] = {}
        self.state_of: StateOf = _always_alive
        self.flush_timer: timers.Timer | None = None
        self.inlet: Inlet | None = None

    def subscribe(
        self, kind: type[msgspec.Struct], handler: peers.Handler
    ) -> None:
        """Take messages of one type; call before `start`."""
        self.handlers[kind] = handler

    def start(self) -> None:
        """Open the listening socket."""
        limit_threads()
        self.inlet = Inlet(
            address=self.sender.peer_address, take=self.frame_received
        )
        self.inlet.reader = peer_wire.FrameReader(kinds=tuple(self.handlers))
        self.reactor.addReader(self.inlet)

    def stop(self) -> None:
        """Send what waits and close every socket."""
        self.flush()
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        if self.inlet is not None:
            self.reactor.removeReader(self.inlet)
            self.inlet.socket.close()
        for address in tuple(self.links):
            self.disconnect(address)

    def send(self, to: names.PeerAddress, message: msgspec.Struct) -> None:
        """Queue a message; it may be lost and is never repeated."""
        link = self.links.get(to)
        if link is None:
            link = Link(address=to)
            self.links[to] = link
        encoded = peer_wire.encode_message(message)
        too_large = len(encoded) > peer_wire.MAX_FRAME_BYTES // 2
        if too_large or not link.add(encoded, self.timers.now()):
            self.counters.dropped_full += 1
            return
        self.flush_after(self.tick_s)

    def disconnect(self, address: names.PeerAddress) -> None:
        """Close the way to a peer that is gone; a later send dials again."""
        link = self.links.pop(address, None)
        if link is not None:
            link.socket.close()

    def flush_after(self, delay_s: float) -> None:
        """Send what waits after a delay, unless that is planned already."""
        if self.flush_timer is None:
            self.flush_timer = self.timers.call_after(delay_s, self.flush)

    def flush(self) -> None:
        """Send one frame for each peer that messages wait for."""
        self.flush_timer = None
        for link in self.links.values():
            if link.connected():
                self.flush_link(link)
            else:
                self.expire(link)
        if any(one.waiting for one in self.links.values()):
            self.flush_after(RETRY_TICK_S)

    def flush_link(self, link: Link) -> None:
        """Hand all that waits for one peer to NNG."""
        while link.waiting:
            batch = link.take_batch()
            frame = peer_wire.encode_frame(self.sender, batch)
            try:
                link.socket.send(frame, block=False)
            except pynng.TryAgain:
                self.counters.dropped_full += len(batch)
                continue
            self.counters.frames_sent += 1
            self.counters.bytes_sent += len(frame)
            self.counters.messages_sent += len(batch)

    def expire(self, link: Link) -> None:
        """Drop what has waited too long for a connection."""
        if link.waiting and self.timers.now() - link.oldest_s > HOLD_S:
            self.counters.dropped_unreachable += len(link.waiting)
            link.waiting.clear()

    def frame_received(
        self, frame: bytes, opened: peer_wire.Opened | peer_wire.Rejection
    ) -> None:
        """Hand the messages of a frame to their subscribers."""
        self.counters.frames_received += 1
        self.counters.bytes_received += len(frame)
        match opened:
            case peer_wire.Rejection():
                self.counters.rejected[opened.value] += 1
            case peer_wire.Opened():
                unknown = peer_wire.Rejection.UNKNOWN_KIND.value
                self.counters.rejected[unknown] += opened.unknown
                self.deliver(opened)

    def deliver(self, opened: peer_wire.Opened) -> None:
        """Call the handlers; a handler that raises harms nobody else."""
        incarnation = opened.sender.incarnation()
        peer = peers.Peer(
            incarnation=incarnation,
            peer_address=opened.sender.peer_address,
            state=self.state_of(incarnation),
        )
        for message in opened.messages:
            self.counters.messages_received += 1
            try:
                self.handlers[type(message)](peer, message)
            except Exception:  # noqa: BLE001 - one bad message, not the bus
                _LOG.exception('handler of {} failed', type(message).__name__)

    def describe(self) -> dict[str, Any]:
        """Return the bus's part of the state dump."""
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


class Inlet:
    """The pull socket, read by the reactor through its descriptor."""

    def __init__(
        self,
        *,
        address: names.PeerAddress,
        take: Callable[[bytes, 'peer_wire.Opened | peer_wire.Rejection'], None],
    ) -> None:
        self.take = take
        self.reader = peer_wire.FrameReader(kinds=())
        self.socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_FRAMES, recv_max_size=_RECEIVE_BYTES
        )
        try:
            self.socket.listen(f'tcp://{address}')
        except pynng.NNGException as broken:
            host, _, port = address.rpartition(':')
            raise error.CannotListenError(host, int(port), broken) from broken
        self.descriptor = self.socket.recv_fd

    def fileno(self) -> int:
        """Return the descriptor that turns readable with a frame."""
        return int(self.descriptor)

    def doRead(self) -> None:  # noqa: N802 - interface of Twisted
        """Take the frames that wait, a bounded number at once."""
        for _ in range(_FRAMES_PER_WAKE):
            frame = receive(self.socket)
            if frame is None:
                return
            self.take(frame, self.reader.open(frame))

    def connectionLost(self, _: object) -> None:
        """Take the reactor's notice that it stops."""

    def logPrefix(self) -> str:  # noqa: N802 - as above
        """Return the prefix for Twisted's own log."""
        return _LOG_PREFIX


def receive(socket: pynng.Pull0) -> bytes | None:
    """Return the next frame; none if no frame waits."""
    try:
        return bytes(socket.recv(block=False))
    except pynng.TryAgain:
        return None
    except RuntimeError:
        # pynng can't unpack the null pointer of a frame without bytes.
        return b''


def _always_alive(_: identity.Incarnation) -> peers.PeerState:
    return peers.PeerState.ALIVE
