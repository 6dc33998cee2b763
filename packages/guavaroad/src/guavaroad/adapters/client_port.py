"""Opens the client port, with TLS if the settings have a certificate."""

from typing import Any

from guavaroad import settings
from guavaroad.adapters import tls


def listen(
    reactor: Any, instance_settings: settings.Settings, site: Any
) -> Any:
    """Open the client port.

    Args:
        reactor: Reactor that listens.
        instance_settings: Validated settings.
        site: Protocol factory for the connections.

    Returns:
        The listening port.

    Raises:
        CannotListenError: If the port is in use.
    """
    host, _, port = instance_settings.instance.client_address.rpartition(':')
    interface = host.removeprefix('[').removesuffix(']')
    identity = (
        instance_settings.tls.identity() if instance_settings.tls else None
    )
    match identity:
        case tls.Identity():
            return reactor.listenSSL(
                int(port),
                site,
                identity.context_factory(),
                interface=interface,
            )
    return reactor.listenTCP(int(port), site, interface=interface)
