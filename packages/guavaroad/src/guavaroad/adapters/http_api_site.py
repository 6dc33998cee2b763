"""Site of the client port, with bounds on connections and bodies."""

# Overridden methods have the names of the library.
# ruff: noqa: N802
import dataclasses
import io
from typing import Any, Final

from twisted.web import http, resource, server

from guavaroad.adapters import http_api_channel, http_api_request
from guavaroad.domain import codes
from guavaroad.ports import timers

IDLE_TIMEOUT_S: Final = 60
MAX_REFUSED_CONNECTIONS: Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Bounds of the client port.

    Attributes:
        body_bytes: Largest request body.
        held_body_bytes: Most bytes of request bodies in memory.
        connections: Most connections that are served.
        request_timeout_s: Time-out for receiving a request, in seconds.
    """

    body_bytes: int
    held_body_bytes: int
    connections: int
    request_timeout_s: float


class ApiSite(server.Site):
    """Serves the API within bounds on its connections and memory.

    Attributes:
        bounds: Bounds of the port.
        timers: Timer service.
        channels: Open connections.
        draining: Whether each connection is closed after its next answer.
        held_bytes: Bytes of request bodies in memory.
    """

    noisy = False
    protocol: Any = http_api_channel.BoundedChannel

    def __init__(
        self,
        *,
        root: resource.Resource,
        reactor: Any,
        timer_service: timers.TimerService,
        bounds: Bounds,
    ) -> None:
        super().__init__(
            root,
            requestFactory=http_api_request.BoundedRequest,
            parsePOSTFormSubmission=False,
            timeout=IDLE_TIMEOUT_S,
            reactor=reactor,
        )
        self.displayTracebacks = False
        self.timers = timer_service
        self.bounds = bounds
        self.channels: set[http_api_channel.BoundedChannel] = set()
        self.draining = False
        self.held_bytes = 0

    def log(self, request: http.Request) -> None:
        """Write no access log."""

    def getContentFile(self, _: int | None) -> io.BytesIO:
        """Return a buffer in memory; Twisted would use a temporary file."""
        return io.BytesIO()

    def connection_opened(
        self, channel: http_api_channel.BoundedChannel
    ) -> bool:
        """Register a connection.

        Args:
            channel: The connection.

        Returns:
            Whether to serve it; one over the bound has to be refused.
        """
        self.channels.add(channel)
        return len(self.channels) <= self.bounds.connections

    def connection_closed(
        self, channel: http_api_channel.BoundedChannel
    ) -> None:
        """Unregister a connection."""
        self.channels.discard(channel)

    def is_past_refusal_limit(self) -> bool:
        """Return whether to abort new connections without an answer."""
        limit = self.bounds.connections + MAX_REFUSED_CONNECTIONS
        return len(self.channels) > limit

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.channels)

    def requests_in_progress(self) -> int:
        """Return the number of connections with an unanswered request."""
        return sum(channel.busy() for channel in self.channels)

    def start_draining(self) -> None:
        """Close every connection after its next answer."""
        self.draining = True

    def close_connections(self) -> None:
        """Close the idle connections after their pending writes."""
        for channel in tuple(self.channels):
            channel.close_when_idle()

    def reserve_bytes(
        self, reserved_bytes: int, more_bytes: int
    ) -> codes.ResultCode | None:
        """Reserve memory for a part of a body.

        Args:
            reserved_bytes: Bytes that the request has reserved already.
            more_bytes: Bytes to add.

        Returns:
            The result code if a bound is exceeded, else None.
        """
        if reserved_bytes + more_bytes > self.bounds.body_bytes:
            return codes.ResultCode.BODY_TOO_LARGE
        if self.held_bytes + more_bytes > self.bounds.held_body_bytes:
            return codes.ResultCode.OVERLOADED
        self.held_bytes += more_bytes
        return None

    def release_bytes(self, size: int) -> None:
        """Release reserved memory."""
        self.held_bytes -= size
