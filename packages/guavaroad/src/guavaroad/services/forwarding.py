"""Forwards a request to the owner of its submission id over HTTP."""

import dataclasses
import enum
from collections.abc import Callable
from typing import Any, Final
from urllib import parse as urls

import msgspec
from twisted.internet import defer

from guavaroad.adapters import http_client
from guavaroad.domain import identity, json_input, names
from guavaroad.ports import timers
from guavaroad.services import (
    answers,
)

FORWARDED_HEADER: Final = 'Guavaroad-Forwarded'
PROBE_PERIOD_S: Final = 0.7
_UNKNOWN_ADDRESS: Final = 'no instance is known at the address in the id'
PROBE_TIMEOUT_S: Final = 1.5
PROBE_CACHE_S: Final = 0.6
MAX_FAILED_PROBES: Final = 3
MAX_CACHED_PROBES: Final = 1000


class Method(enum.Enum):
    """Operation on a submission."""

    SUBMIT = 'POST'
    SHOW = 'GET'
    CANCEL = 'DELETE'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """A request about a submission, to be sent to its owner.

    Attributes:
        method: Operation.
        submission_id: Id of the submission.
        authorization: Authorization header of the client.
        job: Job name, for a submission.
        body: Body, for a submission.
        digest: Hash of the request, for a submission.
    """

    method: Method
    submission_id: names.SubmissionId
    authorization: str
    job: names.JobName = dataclasses.field(default=names.JobName(''))
    body: bytes = b''
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unreached:
    """The owner did not answer.

    Attributes:
        sent: Whether the request may have reached the owner.
        detail: Reason.
    """

    sent: bool
    detail: str


class HealthBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an instance's health page."""

    epoch: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeResult:
    """Result of one probe.

    Attributes:
        alive: Whether the incarnation runs; none if nothing answered.
        at_s: Monotonic time of the result.
    """

    alive: bool | None
    at_s: float


class ProbeCache:
    """Last probe result for each owner, shared by concurrent requests."""

    def __init__(self) -> None:
        self.last: dict[identity.Incarnation, ProbeResult] = {}

    def recent(
        self, owner: identity.Incarnation, now_s: float
    ) -> ProbeResult | None:
        """Return a cached result that is recent enough to replace a probe."""
        result = self.last.get(owner)
        if result is None or now_s - result.at_s > PROBE_CACHE_S:
            return None
        return result

    def store(self, owner: identity.Incarnation, result: ProbeResult) -> None:
        """Cache a result; clear the cache first if it is full."""
        if len(self.last) > MAX_CACHED_PROBES:
            self.last.clear()
        self.last[owner] = result


def is_alive(
    owner: identity.Incarnation, exchange: http_client.Exchange
) -> bool | None:
    """Return whether an incarnation runs; none if nothing answered."""
    match exchange:
        case http_client.Reply():
            body = json_input.decode(exchange.body, HealthBody)
            return has_epoch(body, owner.epoch)
    return None


def has_epoch(
    body: HealthBody | json_input.Malformed, epoch: names.Epoch
) -> bool | None:
    """Return whether a health page has an epoch; none if it shows none."""
    match body:
        case HealthBody(epoch=shown) if shown:
            return shown == epoch
    return None


class Forwarder:
    """Relays requests and answers between instances.

    The address in an id comes from the client and is not trusted: the
    client's token is sent only to addresses of known instances.
    """

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        timer_service: timers.TimerService,
        timeout_s: float,
        is_known_address: Callable[[names.ClientAddress], bool],
    ) -> None:
        self.client = client
        self.is_known_address = is_known_address
        self.timers = timer_service
        self.timeout_s = timeout_s
        self.probe_cache = ProbeCache()

    def send(
        self, owner: identity.Incarnation, request: ForwardedRequest
    ) -> 'defer.Deferred[answers.Answer | Unreached]':
        """Send a request to an owner and relay the answer.

        The wait ends early when the owner stops answering probes.
        """
        if not self.is_known_address(owner.address):
            return defer.succeed(Unreached(sent=False, detail=_UNKNOWN_ADDRESS))
        exchange = defer.ensureDeferred(
            self.client.exchange(self.call_of(owner, request))
        )
        monitor = OwnerMonitor(forwarder=self, owner=owner, exchange=exchange)
        return exchange.addCallback(monitor.on_exchange_ended)

    def call_of(
        self, owner: identity.Incarnation, request: ForwardedRequest
    ) -> http_client.Call:
        """Return the HTTP request."""
        return http_client.Call(
            method=request.method.value,
            url=self.url_of(owner, path_of(request)),
            headers={
                FORWARDED_HEADER: 'yes',
                'Authorization': request.authorization,
                'Idempotency-Key': request.submission_id,
                'Content-Type': 'application/json',
            },
            body=request.body,
            timeout_s=self.timeout_s,
        )

    def url_of(self, owner: identity.Incarnation, path: str) -> str:
        """Return the URL of a page of an owner."""
        scheme = self.client.instance_scheme
        return f'{scheme}://{owner.address}{path}'

    async def probe(self, owner: identity.Incarnation) -> bool | None:
        """Ask whether an incarnation still runs.

        Args:
            owner: The incarnation.

        Returns:
            Whether it does; none if nothing answered.
        """
        if not self.is_known_address(owner.address):
            return None
        cached = self.probe_cache.recent(owner, self.timers.now())
        if cached is not None:
            return cached.alive
        call = http_client.Call(
            method='GET',
            url=self.url_of(owner, '/healthz'),
            timeout_s=PROBE_TIMEOUT_S,
        )
        exchange = await self.client.exchange(call)
        alive = is_alive(owner, exchange)
        result = ProbeResult(alive=alive, at_s=self.timers.now())
        self.probe_cache.store(owner, result)
        return alive


class OwnerMonitor:
    """Cancels an exchange whose owner has stopped answering probes."""

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        owner: identity.Incarnation,
        exchange: 'defer.Deferred[http_client.Exchange]',
    ) -> None:
        self.forwarder = forwarder
        self.owner = owner
        self.exchange = exchange
        self.failed_probes = 0
        self.probe_pending = False
        self.timer = forwarder.timers.subscribe(PROBE_PERIOD_S, self.send_probe)

    def send_probe(self) -> None:
        """Send a probe unless one is pending."""
        if not self.probe_pending:
            self.probe_pending = True
            pending = defer.ensureDeferred(self.forwarder.probe(self.owner))
            pending.addBoth(self.on_probe_result)

    def on_probe_result(self, alive: Any) -> None:
        """Count consecutive failures; cancel the exchange at the limit."""
        self.probe_pending = False
        self.failed_probes = 0 if alive is True else self.failed_probes + 1
        if self.failed_probes >= MAX_FAILED_PROBES:
            self.timer.cancel()
            self.exchange.cancel()

    def on_exchange_ended(
        self, exchange: http_client.Exchange
    ) -> answers.Answer | Unreached:
        """Stop probing and return the result of the exchange."""
        self.timer.cancel()
        match exchange:
            case http_client.Reply():
                return answers.Answer(
                    status=exchange.status, body=exchange.body
                )
            case http_client.NotSent():
                return Unreached(sent=False, detail=exchange.detail)
        return Unreached(sent=True, detail=exchange.detail)


def path_of(request: ForwardedRequest) -> str:
    """Return the path of a forwarded request."""
    if request.method is Method.SUBMIT:
        job = urls.quote(request.job, safe='')
        return f'/v1/jobs/{job}/submissions'
    submission_id = urls.quote(request.submission_id, safe='')
    return f'/v1/submissions/{submission_id}'
