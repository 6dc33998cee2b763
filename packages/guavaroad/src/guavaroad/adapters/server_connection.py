"""A client's connection to the HTTP listener.

Clients outside the limits are refused or disconnected; `client_limits` says
when.  A request in excess of a limit was never received whole, so that nothing
of it has run.  Input is parsed in parts, and in turns with other connections.
"""

import collections
import enum
import types
from http import HTTPStatus
from typing import Any, Final, Protocol

from twisted.internet import protocol

from guavaroad.adapters import (
    client_flow,
    client_guard,
    http_exchange,
    request_receiver,
)
from guavaroad.domain import client_limits, work_turns
from guavaroad.ports import timers

# Pending requests of one connection; with more it is aborted.
MAX_PIPELINED_REQUESTS: Final = 16
# Bytes read at once; so many unread bytes of answers pause a connection.
BUFFER_BYTES: Final = 16_384
# Bytes parsed at once; most requests are smaller.
PART_BYTES: Final = 6144
# Input of a refused connection that is discarded: closing with unread input
# could lose the answer.
LINGER_BYTES: Final = 65_536
_STATUSES: Final = types.MappingProxyType(
    {
        client_limits.Reason.HEAD: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        client_limits.Reason.BODY: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        client_limits.Reason.MALFORMED: HTTPStatus.BAD_REQUEST,
        client_limits.Reason.BLANK_LINES: HTTPStatus.BAD_REQUEST,
        client_limits.Reason.HELD_BYTES: HTTPStatus.SERVICE_UNAVAILABLE,
        client_limits.Reason.CONNECTIONS: HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class State(enum.Enum):
    """State of a connection."""

    OPEN = 'open'
    # A refusal was sent, and input is discarded.
    LINGERING = 'lingering'
    CLOSED = 'closed'


class Listener(Protocol):
    """Listener that accepted a connection; see `http_listener`."""

    bounds: http_exchange.Bounds
    timers: timers.TimerService
    guard: client_guard.ClientGuard
    closing: bool
    connections: 'set[ServerConnection]'

    def dispatch(self, request: http_exchange.Request) -> None:
        """Pass a request to the handler."""


class ServerConnection(protocol.Protocol):
    """A client's connection.

    Attributes:
        listener: Listener that accepted the connection.
        receiver: Receives the requests.
        flow: Flow of the connection.
        state: Whether requests are received, or the connection is closed.
        unparsed: Received bytes that are not parsed yet.
        queue: Requests without a response, the one being handled first.
        handling: Whether the first one was passed to the handler.
        working: Whether input is being parsed or handled now.
        is_held: Whether the guard knows of bytes that it holds.
        last_active_s: Time of the last answer or request, in seconds.
        discarded_bytes: Input received after a refusal.
    """

    # The type stubs of Twisted declare only the general transport.
    transport: Any
    flow: client_flow.ClientFlow

    def __init__(self, *, listener: Listener) -> None:
        self.listener = listener
        self.state = State.OPEN
        self.unparsed = b''
        self.queue: collections.deque[http_exchange.Request] = (
            collections.deque()
        )
        self.receiver = request_receiver.RequestReceiver(
            bounds=listener.bounds,
            queue=self.queue,
            connection=self,
        )
        self.handling = False
        self.working = False
        self.is_held = False
        self.last_active_s = float(0)
        self.discarded_bytes = 0

    def connectionMade(self) -> None:
        """Register the connection, or refuse it if there is no room."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = BUFFER_BYTES
        self.flow = client_flow.ClientFlow(
            transport=self.transport, on_change=self.settle
        )
        self.last_active_s = self.listener.timers.now()
        self.listener.connections.add(self)
        if not self.listener.guard.admit(self):
            self.refuse(client_limits.Reason.CONNECTIONS)

    def dataReceived(self, data: bytes) -> None:
        """Parse and handle the data, or some of it now and the rest later."""
        receiver = self.receiver
        if receiver.error is not None or self.state is not State.OPEN:
            discard(self, len(data))
            return
        receiver.read_s = self.listener.timers.now()
        if self.unparsed:
            self.unparsed += data
            return
        is_small = len(data) <= PART_BYTES
        if self.queue or not is_small or self.flow.answers_unread:
            self.unparsed = data
            self.work(work_turns.FIRST_WORK)
            return
        # The usual case: a part with one request, or the rest of one.
        self.working = True
        receiver.receive(data)
        if receiver.error is not None:
            self.refuse(receiver.error)
        elif self.queue:
            self.handling = True
            self.listener.dispatch(self.queue[0])
        self.end_work()

    def has_work(self) -> bool:
        """Return whether input or a request can be worked on."""
        if self.state is not State.OPEN or self.flow.answers_unread:
            return False
        return bool(self.unparsed or (self.queue and not self.handling))

    def work(self, limit: int) -> int:
        """Parse input and handle requests up to a limit of work.

        Args:
            limit: Most work, in the unit of `work_turns`.

        Returns:
            How much work was done.
        """
        done = 0
        part = limit
        self.working = True
        while part and done < limit and self.state is State.OPEN:
            part = 0 if self.flow.answers_unread else do_part(self)
            done += part
        self.end_work()
        return done

    def end_work(self) -> None:
        """End a turn of work."""
        self.working = False
        if self.is_held or self.flow.answers_unread or holds_bytes(self):
            self.settle()

    def settle(self) -> None:
        """Record what the connection holds, and wait for a turn if needed."""
        if self.working or self.state is State.CLOSED:
            return
        if self.handling and len(self.queue) > MAX_PIPELINED_REQUESTS:
            self.abort(client_limits.Reason.PIPELINE)
            return
        held = held_bytes(self)
        if held or self.is_held:
            self.is_held = bool(held)
            self.listener.guard.set_held(self, held)
        if self.has_work():
            self.listener.guard.wait_turn(self)
        is_blocked = bool(self.unparsed) or self.flow.answers_unread
        self.flow.set_paused(is_paused=is_blocked)

    def refuse(self, reason: client_limits.Reason) -> None:
        """Drop the input, send an error response, and close the connection.

        With requests pending, the response follows theirs.

        Args:
            reason: Why; it determines the status.
        """
        if self.state is not State.OPEN:
            return
        is_memory_short = reason is client_limits.Reason.HELD_BYTES
        if is_memory_short and self.flow.answers_unread:
            # One more answer would only add to those.
            self.abort(reason)
            return
        self.receiver.error = reason
        self.receiver.drop()
        self.unparsed = b''
        if is_memory_short:
            while len(self.queue) > int(self.handling):
                self.queue.pop()
        if not self.queue:
            self.send_error(reason)
        self.settle()

    def send_error(self, reason: client_limits.Reason) -> None:
        """Send the error response, and close the connection.

        Without a shortage of connections it is closed a little later.
        """
        if self.state is not State.OPEN:
            return
        self.listener.guard.report(reason)
        answer = http_exchange.Answer(status=_STATUSES[reason].value)
        self.state = State.LINGERING
        self.last_active_s = self.listener.timers.now()
        self.transport.write(answer.encoded(closing=True))
        if reason is client_limits.Reason.CONNECTIONS:
            self.close()

    def finish(
        self, request: http_exchange.Request, answer: http_exchange.Answer
    ) -> None:
        """Send the response to the current request and handle the next."""
        if not self.queue or self.queue[0] is not request:
            return
        closing = self.listener.closing or request.wants_close()
        self.queue.popleft()
        self.handling = False
        self.last_active_s = self.listener.timers.now()
        self.transport.write(answer.encoded(closing=closing))
        if closing:
            self.close()
            return
        error = self.receiver.error
        if error is not None and not self.queue:
            self.send_error(error)
        if not self.working:
            self.work(work_turns.FIRST_WORK)

    def close(self) -> None:
        """Close the connection after pending writes."""
        if self.state is not State.CLOSED:
            self.state = State.CLOSED
            self.unparsed = b''
            self.receiver.drop()
            self.flow.close()

    def abort(self, reason: client_limits.Reason) -> None:
        """Close the connection without pending writes."""
        self.listener.guard.report(reason)
        self.state = State.CLOSED
        self.unparsed = b''
        self.receiver.drop()
        self.listener.guard.held.set_held(self, 0)
        self.transport.abortConnection()

    def activity(self) -> tuple[client_limits.Activity, float]:
        """Return what the connection is in use for, and since when."""
        if self.state is State.CLOSED:
            return client_limits.Activity.CLOSING, 0
        if self.state is State.LINGERING:
            return client_limits.Activity.IDLE, 0
        if self.queue:
            return client_limits.Activity.HANDLING, 0
        if self.receiver.receiving or self.unparsed:
            return client_limits.Activity.RECEIVING, self.receiver.begun_s
        return client_limits.Activity.IDLE, self.last_active_s

    def connectionLost(self, _: Any = protocol.connectionDone) -> None:
        """Notify the handlers of pending requests."""
        self.state = State.CLOSED
        self.unparsed = b''
        self.receiver.drop()
        self.listener.connections.discard(self)
        self.listener.guard.remove(self)
        for request in self.queue:
            request.answered = True
            if request.on_disconnect is not None:
                request.on_disconnect()
        self.queue.clear()


def do_part(connection: ServerConnection) -> int:
    """Handle the next request, or else parse a part of the input.

    Args:
        connection: An open connection.

    Returns:
        The work, in the unit of `work_turns`; 0 if there was none.
    """
    if connection.queue and not connection.handling:
        connection.handling = True
        connection.listener.dispatch(connection.queue[0])
        return work_turns.REQUEST_WORK
    data = connection.unparsed
    if not data:
        return 0
    connection.unparsed = data[PART_BYTES:]
    receiver = connection.receiver
    done = receiver.receive(data[:PART_BYTES])
    if receiver.error is not None:
        connection.refuse(receiver.error)
    return done


def discard(connection: ServerConnection, size: int) -> None:
    """Discard input after a refusal, within a bound."""
    connection.discarded_bytes += size
    if connection.discarded_bytes > LINGER_BYTES:
        if connection.state is State.LINGERING:
            connection.close()
        else:
            connection.flow.set_paused(is_paused=True)


def holds_bytes(connection: ServerConnection) -> bool:
    """Return whether it holds more than a request that is handled."""
    if connection.unparsed or connection.receiver.receiving:
        return True
    return len(connection.queue) > connection.handling


def held_bytes(connection: ServerConnection) -> int:
    """Return the memory of unfinished requests and unread answers."""
    held = len(connection.unparsed) + connection.receiver.held_bytes()
    if len(connection.queue) > 1:
        held += sum(map(request_bytes, connection.queue))
    if connection.flow.answers_unread:
        held += BUFFER_BYTES
    return held


def request_bytes(request: http_exchange.Request) -> int:
    """Return the memory of a request that waits for its turn."""
    headers = client_limits.HEADER_BYTES * len(request.headers)
    return len(request.body) + headers
