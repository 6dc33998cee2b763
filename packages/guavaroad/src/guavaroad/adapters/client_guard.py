"""Limits on the connections of clients, for all HTTP listeners of a process."""

from collections.abc import Callable
from typing import Protocol

from guavaroad.adapters import http_exchange
from guavaroad.domain import client_limits, work_turns
from guavaroad.ports import timers


class Connection(work_turns.Worker, Protocol):
    """A client's connection."""

    def __hash__(self) -> int:
        """Return the hash of its identity."""

    def activity(self) -> tuple[client_limits.Activity, float]:
        """Return what it is in use for, and since when in seconds."""

    def refuse(self, reason: client_limits.Reason) -> None:
        """Drop what it holds, answer that nothing was run, and close it."""

    def close(self) -> None:
        """Close it without an answer."""


def ignore_refusal(_: str) -> None:
    """Do nothing."""


class ClientGuard:
    """Keeps held bytes, connections and work for clients bounded.

    Attributes:
        bounds: Bounds on single requests.
        limits: Limits on all connections together.
        held: What each connection holds.
        turns: Connections that wait for a turn.
        is_scheduled: Whether their next turn is scheduled.
        is_refusing: Whether the largest holders are being refused.
        connections: Open connections.
        on_refused: Called with the name of a log event for each refusal.
    """

    def __init__(
        self,
        *,
        bounds: http_exchange.Bounds,
        timer_service: timers.TimerService,
        limits: client_limits.ProcessLimits | None = None,
        on_refused: Callable[[str], object] = ignore_refusal,
    ) -> None:
        self.bounds = bounds
        self.timers = timer_service
        self.limits = limits or client_limits.ProcessLimits()
        self.on_refused = on_refused
        self.held: client_limits.HeldBytes[Connection] = (
            client_limits.HeldBytes()
        )
        self.turns: work_turns.WorkTurns[Connection] = work_turns.WorkTurns()
        self.is_scheduled = False
        self.is_refusing = False
        self.connections: set[Connection] = set()

    def admit(self, connection: Connection) -> bool:
        """Register a connection; return whether there is room for it."""
        self.connections.add(connection)
        if len(self.connections) <= self.limits.connections:
            return True
        others = [
            (*other.activity(), other)
            for other in self.connections
            if other is not connection
        ]
        closing = sum(
            entry[0] is client_limits.Activity.CLOSING for entry in others
        )
        if len(self.connections) - closing <= self.limits.connections:
            return True
        to_close = client_limits.first_to_close(
            others, self.limits.close_count()
        )
        for other in to_close:
            if other.activity()[0] is client_limits.Activity.IDLE:
                self.report(client_limits.Reason.CONNECTIONS)
                other.close()
            else:
                other.refuse(client_limits.Reason.CONNECTIONS)
        return bool(to_close)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        self.held.set_held(connection, 0)

    def set_held(self, connection: Connection, size: int) -> None:
        """Record what a connection holds; refuse the largest over the limit.

        Args:
            connection: The connection.
            size: Bytes of its unfinished requests and unread answers.
        """
        self.held.set_held(connection, size)
        if self.is_refusing:
            return
        self.is_refusing = True
        limit = self.limits.held_limit(
            self.bounds.head_bytes, self.bounds.body_bytes
        )
        for largest in self.held.largest(limit):
            largest.refuse(client_limits.Reason.HELD_BYTES)
        self.is_refusing = False

    def wait_turn(self, connection: Connection) -> None:
        """Let a connection with work left wait for its turn."""
        self.turns.add(connection)
        self.schedule_turns()

    def schedule_turns(self) -> None:
        """Continue after the event loop has looked at the sockets."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self.timers.call_after(0, self.run_turns)

    def run_turns(self) -> None:
        """Do work for the connections that wait."""
        self.is_scheduled = False
        if self.turns.run():
            self.schedule_turns()

    def report(self, reason: client_limits.Reason) -> None:
        """Report that a client is refused or disconnected."""
        self.on_refused(reason.value)
