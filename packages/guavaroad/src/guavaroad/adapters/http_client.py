"""HTTP requests that say whether they may have reached the other side."""

# Methods overridden here have the names of the library.
# ruff: noqa: N802
import dataclasses
import io
from typing import Any, Final

from OpenSSL import SSL
from twisted.internet import defer, error, protocol
from twisted.python import failure
from twisted.web import _newclient as web_client
from twisted.web import client, http, http_headers, iweb
from twisted.web import error as web_error

_USER_AGENT: Final = 'guavaroad'
_IDLE_CONNECTION_S: Final = 60
MAX_ANSWER_BYTES: Final = 32_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A whole HTTP answer.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name, the first of each.
        body: Whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """The request was provably not written to a connection.

    Attributes:
        detail: What broke.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoReply:
    """The request may have arrived; no whole answer came.

    Attributes:
        detail: What broke.
    """

    detail: str


Exchange = Reply | NotSent | NoReply

_UNTRUSTED: Final = 'certificate verify failed'
_NOT_SENT_ERRORS: Final = (
    error.ConnectError,
    error.UnsupportedAddressFamily,
    web_client.RequestNotSent,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request.

    Attributes:
        method: HTTP method.
        url: Whole URL with an IP number.
        headers: Header values by name.
        body: Body, may be empty.
        timeout_s: Seconds from the call to the end of the body.
        max_answer_bytes: Largest body of the answer that is read.
    """

    method: str
    url: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    timeout_s: float
    max_answer_bytes: int = MAX_ANSWER_BYTES


class AnswerTooLargeError(Exception):
    """The body of an answer is over its bound."""


class BodyReader(protocol.Protocol):
    """Reads the body of an answer up to a bound.

    Attributes:
        whole: Fires with the body, or fails if it did not arrive whole.
        size: Bytes read so far.
    """

    transport: Any

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        self.chunks: list[bytes] = []
        self.whole: defer.Deferred[bytes] = defer.Deferred(self.abort)

    def dataReceived(self, data: bytes) -> None:
        """Keep a part of the body, or abort the connection."""
        if self.size > self.max_bytes:
            return
        self.size += len(data)
        if self.size > self.max_bytes:
            self.chunks.clear()
            self.abort()
            return
        self.chunks.append(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Take the end of the body."""
        if self.whole.called:
            return
        if self.size > self.max_bytes:
            self.whole.errback(AnswerTooLargeError(f'over {self.max_bytes}'))
        elif reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.whole.callback(b''.join(self.chunks))
        else:
            self.whole.errback(reason)

    def abort(self, *_: object) -> None:
        """Close the connection, so that it is never used again."""
        self.transport.loseConnection()


class HttpClient:
    """Pooled persistent connections with one request in flight on each.

    Attributes:
        instance_scheme: Scheme by which other instances are reached.
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
        self.pool.cachedConnectionTimeout = _IDLE_CONNECTION_S
        # A resend by the library could start a task twice.
        self.pool.retryAutomatically = False
        self.agent = client.Agent(
            reactor,
            contextFactory=client.BrowserLikePolicyForHTTPS(trust),
            connectTimeout=connect_timeout_s,
            pool=self.pool,
        )

    async def exchange(self, call: Call) -> Exchange:
        """Send a request and wait for the whole answer.

        Args:
            call: The request.

        Returns:
            The answer, or whether the request may have arrived.
        """
        pending = defer.ensureDeferred(self.send(call))
        pending.addTimeout(call.timeout_s, self.reactor)
        try:
            return await pending
        except _NOT_SENT_ERRORS as unsent:
            return NotSent(detail=_describe(unsent))
        except defer.TimeoutError:
            wait_s = round(call.timeout_s, 1)
            return NoReply(detail=f'no answer within {wait_s} s')
        except Exception as broken:  # noqa: BLE001
            return _classify(broken)

    async def send(self, call: Call) -> Reply:
        """Send a request; raises what the agent raises."""
        headers = http_headers.Headers({'User-Agent': [_USER_AGENT]})
        for name, text in call.headers.items():
            headers.addRawHeader(name, text)
        response: iweb.IResponse = await self.agent.request(
            call.method.encode(),
            call.url.encode(),
            headers,
            _producer(call.body),
        )
        body = await read_body(response, call.max_answer_bytes)
        return Reply(
            status=response.code,
            headers=_first_headers(response.headers),
            body=body,
        )

    def close(self) -> 'defer.Deferred[None]':
        """Close the idle connections."""
        closing: defer.Deferred[None] = self.pool.closeCachedConnections()
        return closing


async def read_body(response: Any, max_bytes: int) -> bytes:
    """Return the whole body of an answer.

    Args:
        response: Answer whose head has arrived.
        max_bytes: Largest body.

    Returns:
        The body.

    Raises:
        AnswerTooLargeError: If the body is larger; the connection is closed.
    """
    reader = BodyReader(max_bytes=max_bytes)
    response.deliverBody(reader)
    return await reader.whole


def _producer(body: bytes) -> Any:
    if not body:
        return None
    return client.FileBodyProducer(io.BytesIO(body))


def _first_headers(headers: http_headers.Headers) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): texts[0].decode('latin-1')
        for name, texts in headers.getAllRawHeaders()
    }


def _classify(broken: Any) -> NotSent | NoReply:
    detail = _describe(broken)
    # A certificate is checked before the first byte of the request is sent.
    if isinstance(_root(broken), SSL.Error) and _UNTRUSTED in detail:
        return NotSent(detail=detail)
    return NoReply(detail=detail)


def _root(broken: Any) -> Any:
    reasons = getattr(broken, 'reasons', None)
    if reasons and isinstance(reasons[0], failure.Failure):
        return _root(reasons[0].value)
    return broken


def _describe(failed: Any) -> str:
    broken = _root(failed)
    if isinstance(broken, web_error.Error):
        return f'HTTP error {broken.status!r}'
    return f'{type(broken).__name__}: {broken}'.strip(': ')
