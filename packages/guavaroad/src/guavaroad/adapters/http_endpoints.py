"""Endpoints of outgoing connections, made once for each address."""

from typing import Any, Final

from twisted.internet import endpoints
from twisted.web import client, iweb
from zope.interface import implementer  # type: ignore[import-untyped]

MAX_KNOWN: Final = 4096


@implementer(iweb.IAgentEndpointFactory)
class KnownEndpoints:
    """Keeps the endpoints that the agent asks for.

    The agent's own factory checks and encodes the host anew for each request,
    also when the request goes out on a kept connection.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        policy: Any,
        connect_timeout_s: float,
    ) -> None:
        self.reactor = reactor
        self.policy = policy
        self.connect_timeout_s = connect_timeout_s
        self.known: dict[tuple[bytes, bytes, int], Any] = {}

    def endpointForURI(self, uri: client.URI) -> Any:  # noqa: N802
        """Return the endpoint of a URL; the name is the library's."""
        key = (uri.scheme, uri.host, uri.port)
        if len(self.known) > MAX_KNOWN:
            self.known.clear()
        if key not in self.known:
            self.known[key] = self.make(uri)
        return self.known[key]

    def make(self, uri: client.URI) -> Any:
        """Make an endpoint for the host of a URL."""
        plain: Any = endpoints.HostnameEndpoint(
            self.reactor, uri.host, uri.port, timeout=self.connect_timeout_s
        )
        if uri.scheme != b'https':
            return plain
        creator = self.policy.creatorForNetloc(uri.host, uri.port)
        return endpoints.wrapClientTLS(creator, plain)
