"""Cached endpoints of outgoing connections."""

from typing import Any, Final

from twisted.internet import endpoints
from twisted.web import client, iweb
from zope.interface import implementer  # type: ignore[import-untyped]

MAX_CACHED_ENDPOINTS: Final = 4096


@implementer(iweb.IAgentEndpointFactory)
class EndpointCache:
    """Endpoint factory of the agent that caches endpoints by address.

    The agent's own factory validates and encodes the host for each request,
    even if the request is sent on a pooled connection.
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
        self.cached: dict[tuple[bytes, bytes, int], Any] = {}

    def endpointForURI(self, uri: client.URI) -> Any:  # noqa: N802
        """Return the endpoint of a URL."""
        key = (uri.scheme, uri.host, uri.port)
        if len(self.cached) > MAX_CACHED_ENDPOINTS:
            self.cached.clear()
        if key not in self.cached:
            self.cached[key] = self.create(uri)
        return self.cached[key]

    def create(self, uri: client.URI) -> Any:
        """Create the endpoint of a URL."""
        tcp_endpoint: Any = endpoints.HostnameEndpoint(
            self.reactor, uri.host, uri.port, timeout=self.connect_timeout_s
        )
        if uri.scheme != b'https':
            return tcp_endpoint
        creator = self.policy.creatorForNetloc(uri.host, uri.port)
        return endpoints.wrapClientTLS(creator, tcp_endpoint)
