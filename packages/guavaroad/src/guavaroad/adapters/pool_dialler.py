"""Opens links to other instances."""

from collections.abc import Callable
from typing import Any, Final

from guavaroad.adapters import pool_wire
from guavaroad.domain import endpoints
from guavaroad.services.pool import instance_links

# An unreachable or powered-off machine does not refuse the connection.
DIAL_TIMEOUT_S: Final = 0.4


class Dialler:
    """Implements `instance_links.DiallerPort` over TCP."""

    def __init__(self, *, reactor: Any) -> None:
        self.reactor = reactor

    def dial(
        self,
        address: str,
        on_connected: Callable[[instance_links.LinkPort], object],
        on_failed: Callable[[], object],
    ) -> None:
        """Open a link; exactly one of the callbacks is called, once."""
        host, port = endpoints.split_address(address)
        self.reactor.connectTCP(
            host,
            port,
            pool_wire.LinkDialler(
                reactor=self.reactor,
                on_connected=on_connected,
                on_failed=on_failed,
            ),
            timeout=DIAL_TIMEOUT_S,
        )
