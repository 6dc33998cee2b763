"""The ports that a process listens on, and the idle connections to them."""

from collections.abc import Callable
from typing import Any, Final

from guavaroad.adapters import client_guard, http_listener
from guavaroad.domain import client_limits, endpoints
from guavaroad.domain.pool import routing
from guavaroad.ports import timers

# Period of closing idle connections, in seconds.
IDLE_CHECK_PERIOD_S: Final = 1
# Queued connections that are not yet accepted: all clients of a zone may
# connect at once.
LISTEN_BACKLOG: Final = 512
# A check later than this, in seconds, follows a pause of the process itself:
# what clients have sent meanwhile is read first.
LATE_CHECK_S: Final = 2


class ListeningPorts:
    """Listens on ports, and closes connections whose time-out has passed.

    Attributes:
        bounds: Limits on requests, for every HTTP listener.
        guard: Limits on the connections of all of them.
        http_listeners: HTTP listeners that were made.
        checked_s: When idle connections were last sought, in seconds.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        timer_service: timers.TimerService,
        limits: client_limits.ProcessLimits | None = None,
        on_refused: Callable[[str], object] = client_guard.ignore_refusal,
    ) -> None:
        """Create the limits; nothing listens yet.

        Args:
            reactor: Twisted's reactor.
            timer_service: Timer service.
            limits: Limits on all connections together.
            on_refused: Called with the name of a log event for each refusal.
        """
        self.reactor = reactor
        self.timers = timer_service
        self.bounds = http_listener.Bounds()
        self.guard = client_guard.ClientGuard(
            bounds=self.bounds,
            timer_service=timer_service,
            limits=limits,
            on_refused=on_refused,
        )
        self.checked_s = timer_service.now()
        self.http_listeners: list[http_listener.HttpListener] = []
        timer_service.subscribe(IDLE_CHECK_PERIOD_S, self.close_idle)

    def make_http_listener(
        self, handler: Callable[[http_listener.Request], object]
    ) -> http_listener.HttpListener:
        """Return a listener that passes its requests to a handler."""
        listener = http_listener.HttpListener(
            handler=handler,
            bounds=self.bounds,
            timer_service=self.timers,
            guard=self.guard,
        )
        self.http_listeners.append(listener)
        return listener

    def listen(self, address: str, factory: Any) -> None:
        """Listen on an address.

        Args:
            address: `ip:port`.
            factory: Twisted's factory for the accepted connections.

        Raises:
            CannotListenError: The port is in use.
        """
        host, port = endpoints.split_address(address)
        self.reactor.listenTCP(
            port, factory, interface=host, backlog=LISTEN_BACKLOG
        )

    def apply_limits(self, configuration: routing.Configuration) -> None:
        """Apply the limits on requests of a new configuration."""
        limits = configuration.limits
        self.bounds.head_bytes = limits.header_bytes
        self.bounds.body_bytes = limits.body_bytes
        self.bounds.head_timeout_s = limits.header_timeout_s
        self.bounds.idle_timeout_s = limits.idle_timeout_s

    def close_idle(self) -> None:
        """Close the connections whose time-out has passed."""
        now_s = self.timers.now()
        is_late = now_s - self.checked_s > LATE_CHECK_S
        self.checked_s = now_s
        if is_late:
            return
        for listener in self.http_listeners:
            listener.close_idle(now_s)
