"""Opens the client port, with TLS if the settings have certificates."""

from typing import Any

from guavaroad import settings
from guavaroad.adapters import tls


def listen(reactor: Any, chosen: settings.Settings, site: Any) -> Any:
    """Open the client port.

    Args:
        reactor: The one loop.
        chosen: Checked settings.
        site: Factory of the connections.

    Returns:
        The listening port.

    Raises:
        CannotListenError: If the port is taken.
    """
    host, _, port = chosen.instance.client_address.rpartition(':')
    interface = host.removeprefix('[').removesuffix(']')
    identity = chosen.tls.identity() if chosen.tls else None
    match identity:
        case tls.Identity():
            return reactor.listenSSL(
                int(port),
                site,
                identity.context_factory(),
                interface=interface,
            )
    return reactor.listenTCP(int(port), site, interface=interface)
