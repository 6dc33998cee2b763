"""The site of the client port, with bounds on what it takes in."""

# Methods overridden here have the names of the library.
# ruff: noqa: N802
import dataclasses
import io
from typing import Any, Final

from twisted.web import http, resource, server

from guavaroad.adapters import http_api_channel, http_api_request
from guavaroad.domain import codes
from guavaroad.ports import timers

IDLE_CONNECTION_S: Final = 60
SPARE_CONNECTIONS: Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """What the client port takes in.

    Attributes:
        body_bytes: Largest request body.
        held_body_bytes: Most bytes of request bodies held at once.
        connections: Most open connections that are served.
        request_timeout_s: From the first byte of a request to its last.
    """

    body_bytes: int
    held_body_bytes: int
    connections: int
    request_timeout_s: float


class ApiSite(server.Site):
    """Serves the API; counts its connections and the bytes it holds.

    Attributes:
        bounds: What it takes in.
        timers: Timer service.
        channels: Connections open now.
        leaving: Whether connections end with the answer in progress.
        held_bytes: Bytes of request bodies held now.
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
            timeout=IDLE_CONNECTION_S,
            reactor=reactor,
        )
        self.displayTracebacks = False
        self.timers = timer_service
        self.bounds = bounds
        self.channels: set[http_api_channel.BoundedChannel] = set()
        self.leaving = False
        self.held_bytes = 0

    def log(self, request: http.Request) -> None:
        """Write no access log."""

    def getContentFile(self, _: int | None) -> io.BytesIO:
        """Return where a body is kept: in memory, never in a file."""
        return io.BytesIO()

    def opened(self, channel: http_api_channel.BoundedChannel) -> bool:
        """Count a connection.

        Args:
            channel: The connection.

        Returns:
            Whether it is served; one over the bound is answered and closed.
        """
        self.channels.add(channel)
        return len(self.channels) <= self.bounds.connections

    def closed(self, channel: http_api_channel.BoundedChannel) -> None:
        """Forget a connection."""
        self.channels.discard(channel)

    def crowded(self) -> bool:
        """Return whether not even a refusal is worth a connection."""
        most = self.bounds.connections + SPARE_CONNECTIONS
        return len(self.channels) > most

    def connection_count(self) -> int:
        """Return the open connections."""
        return len(self.channels)

    def requests_in_progress(self) -> int:
        """Return the connections with a request that has no whole answer."""
        return sum(channel.busy() for channel in self.channels)

    def leave(self) -> None:
        """Have every connection end with its next answer."""
        self.leaving = True

    def close_connections(self) -> None:
        """End the idle connections once what was written is sent."""
        for channel in tuple(self.channels):
            channel.close_when_idle()

    def hold(self, own_bytes: int, more_bytes: int) -> codes.ResultCode | None:
        """Reserve room for a part of a body.

        Args:
            own_bytes: Bytes that the request holds already.
            more_bytes: Bytes to add.

        Returns:
            Why there is no room, if there is none.
        """
        if own_bytes + more_bytes > self.bounds.body_bytes:
            return codes.ResultCode.BODY_TOO_LARGE
        if self.held_bytes + more_bytes > self.bounds.held_body_bytes:
            return codes.ResultCode.OVERLOADED
        self.held_bytes += more_bytes
        return None

    def release(self, held: int) -> None:
        """Give room back."""
        self.held_bytes -= held
