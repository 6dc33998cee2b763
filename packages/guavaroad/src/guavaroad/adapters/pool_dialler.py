"""Makes links to other instances."""

from collections.abc import Callable
from typing import Any, Final

from guavaroad.adapters import pool_wire
from guavaroad.domain import endpoints
from guavaroad.services.pool import instance_links

# A machine that is cut off or without power does not refuse; it hangs.
DIAL_TIMEOUT_S: Final = 0.4


class Dialler:
    """Implements `instance_links.DiallerPort` over TCP."""

    def __init__(self, *, reactor: Any) -> None:
        self.reactor = reactor

    def dial(
        self,
        address: str,
        on_made: Callable[[instance_links.LinkPort], object],
        on_failed: Callable[[], object],
    ) -> None:
        """Make a link; one of the callbacks is called once."""
        host, port = endpoints.split_address(address)
        self.reactor.connectTCP(
            host,
            port,
            pool_wire.LinkDialler(
                reactor=self.reactor, on_made=on_made, on_failed=on_failed
            ),
            timeout=DIAL_TIMEOUT_S,
        )
