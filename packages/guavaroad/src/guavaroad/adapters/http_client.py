"""HTTP client that reports whether a failed request may have been received."""

import dataclasses
from typing import Any, Final

from OpenSSL import SSL
from twisted.internet import defer, error
from twisted.python import failure
from twisted.web import _newclient as web_client
from twisted.web import client, http_headers, iweb
from twisted.web import error as web_error

from guavaroad.adapters import http_bodies, http_endpoints

_USER_AGENT: Final = 'guavaroad'
_IDLE_TIMEOUT_S: Final = 60
MAX_ANSWER_BYTES: Final = 32_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: First value of each header, by lower-case name.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """The request was certainly not written to a connection.

    Attributes:
        detail: What failed.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoReply:
    """The request may have been received; no complete response arrived.

    Attributes:
        detail: What failed.
    """

    detail: str


Exchange = Reply | NotSent | NoReply

_TIMED_OUT: Final = 'no answer in time'
_UNTRUSTED: Final = 'certificate verify failed'
_NOT_SENT_ERRORS: Final = (
    error.ConnectError,
    error.UnsupportedAddressFamily,
    web_client.RequestNotSent,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """An HTTP request.

    Attributes:
        method: HTTP method.
        url: URL with an IP address.
        headers: Header values by name.
        body: Request body, may be empty.
        timeout_s: Time-out of the whole exchange, in seconds.
        max_answer_bytes: Largest response body.
    """

    method: str
    url: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    timeout_s: float
    max_answer_bytes: int = MAX_ANSWER_BYTES


class HttpClient:
    """HTTP client on a pool of persistent connections.

    Attributes:
        instance_scheme: URL scheme of other instances.
        in_flight: Number of requests in flight.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        connections_per_host: int,
        connect_timeout_s: float,
        trust: Any = None,
        instance_scheme: str = 'http',
    ) -> None:
        self.reactor = reactor
        self.instance_scheme = instance_scheme
        self.pool = client.HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = connections_per_host
        self.pool.cachedConnectionTimeout = _IDLE_TIMEOUT_S
        # A retry by the library could start a task twice.
        self.pool.retryAutomatically = False
        self.in_flight = 0
        self.agent = client.Agent.usingEndpointFactory(
            reactor,
            http_endpoints.EndpointCache(
                reactor=reactor,
                policy=client.BrowserLikePolicyForHTTPS(trust),
                connect_timeout_s=connect_timeout_s,
            ),
            pool=self.pool,
        )

    async def exchange(self, call: Call) -> Exchange:
        """Send a request and wait for the complete response.

        Args:
            call: The request.

        Returns:
            The response, or whether the request may have been received.
        """
        pending = defer.ensureDeferred(self.send(call))
        pending.addTimeout(call.timeout_s, self.reactor)
        self.in_flight += 1
        try:
            return await pending
        except _NOT_SENT_ERRORS as not_sent_error:
            return NotSent(detail=_describe(not_sent_error))
        except Exception as exc:  # noqa: BLE001
            return _classify(exc)
        finally:
            self.in_flight -= 1

    def connection_count(self) -> int:
        """Return the number of connections, idle ones included."""
        # The pool has no public count of its idle connections.
        cached = self.pool._connections.values()
        return self.in_flight + sum(map(len, cached))

    async def send(self, call: Call) -> Reply:
        """Send a request; errors of the agent are raised as they are."""
        headers = http_headers.Headers({'User-Agent': [_USER_AGENT]})
        for name, text in call.headers.items():
            headers.addRawHeader(name, text)
        response: iweb.IResponse = await self.agent.request(
            call.method.encode(),
            call.url.encode(),
            headers,
            _producer(call.body),
        )
        body = await http_bodies.read_body(response, call.max_answer_bytes)
        return Reply(
            status=response.code,
            headers=_first_headers(response.headers),
            body=body,
        )

    def close(self) -> 'defer.Deferred[None]':
        """Close the idle connections."""
        closing: defer.Deferred[None] = self.pool.closeCachedConnections()
        return closing


def _producer(body: bytes) -> Any:
    if not body:
        return None
    return http_bodies.BytesProducer(body=body)


def _first_headers(headers: http_headers.Headers) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): texts[0].decode('latin-1')
        for name, texts in headers.getAllRawHeaders()
    }


def _classify(exc: Any) -> NotSent | NoReply:
    detail = _describe(exc)
    # The TLS handshake fails before the request is written.
    if isinstance(_root_cause(exc), SSL.Error) and _UNTRUSTED in detail:
        return NotSent(detail=detail)
    return NoReply(detail=detail)


def _root_cause(exc: Any) -> Any:
    reasons = getattr(exc, 'reasons', None)
    if reasons and isinstance(reasons[0], failure.Failure):
        return _root_cause(reasons[0].value)
    return exc


def _describe(raised: Any) -> str:
    exc = _root_cause(raised)
    # The time-out cancels the request.
    if isinstance(exc, defer.CancelledError):
        return _TIMED_OUT
    if isinstance(exc, web_error.Error):
        return f'HTTP error {exc.status!r}'
    return f'{type(exc).__name__}: {exc}'.strip(': ')
