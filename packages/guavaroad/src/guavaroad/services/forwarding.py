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
PROBE_SHARED_S: Final = 0.6
FAILED_PROBES: Final = 3
MAX_PROBED_OWNERS: Final = 1000


class Method(enum.Enum):
    """What is asked of a submission."""

    SUBMIT = 'POST'
    SHOW = 'GET'
    CANCEL = 'DELETE'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """A request about a submission, on its way to the owner.

    Attributes:
        method: What is asked.
        submission_id: Id of the submission.
        authorization: Header of the client.
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
    """No answer came.

    Attributes:
        sent: Whether the request may have reached the owner.
        detail: What broke.
    """

    sent: bool
    detail: str


class AliveBody(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance says of itself."""

    epoch: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Result of one probe.

    Attributes:
        alive: Whether the incarnation runs; none if nothing answered.
        at_s: Monotonic time of the result.
    """

    alive: bool | None
    at_s: float


class Probes:
    """Last result for each owner, shared by all who wait for it."""

    def __init__(self) -> None:
        self.last: dict[identity.Incarnation, Probe] = {}

    def recent(self, owner: identity.Incarnation, now_s: float) -> Probe | None:
        """Return a result that is fresh enough to stand for a probe."""
        probe = self.last.get(owner)
        if probe is None or now_s - probe.at_s > PROBE_SHARED_S:
            return None
        return probe

    def keep(self, owner: identity.Incarnation, probe: Probe) -> None:
        """Keep a result; all are dropped when there are many owners."""
        if len(self.last) > MAX_PROBED_OWNERS:
            self.last.clear()
        self.last[owner] = probe


def is_alive(
    owner: identity.Incarnation, exchange: http_client.Exchange
) -> bool | None:
    """Read the answer to a probe; none if nothing answered."""
    match exchange:
        case http_client.Reply():
            body = json_input.decode(exchange.body, AliveBody)
            return is_epoch(body, owner.epoch)
    return None


def is_epoch(
    body: AliveBody | json_input.Malformed, epoch: names.Epoch
) -> bool | None:
    """Compare the epoch of an answer; none if it names no epoch."""
    match body:
        case AliveBody(epoch=shown) if shown:
            return shown == epoch
    return None


class Forwarder:
    """Relays requests and answers between instances.

    An address in an id is the client's word; the client's token goes only to
    addresses of known instances.
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
        self.probes = Probes()

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
        watch = Watch(forwarder=self, owner=owner, exchange=exchange)
        return exchange.addCallback(watch.ended)

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
        kept = self.probes.recent(owner, self.timers.now())
        if kept is not None:
            return kept.alive
        call = http_client.Call(
            method='GET',
            url=self.url_of(owner, '/healthz'),
            timeout_s=PROBE_TIMEOUT_S,
        )
        exchange = await self.client.exchange(call)
        alive = is_alive(owner, exchange)
        probe = Probe(alive=alive, at_s=self.timers.now())
        self.probes.keep(owner, probe)
        return alive


class Watch:
    """Ends a wait for an owner that stops answering probes."""

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
        self.failed = 0
        self.probing = False
        self.timer = forwarder.timers.subscribe(PROBE_PERIOD_S, self.probe)

    def probe(self) -> None:
        """Probe unless a probe is on its way."""
        if not self.probing:
            self.probing = True
            pending = defer.ensureDeferred(self.forwarder.probe(self.owner))
            pending.addBoth(self.probed)

    def probed(self, alive: Any) -> None:
        """Count failures in a row."""
        self.probing = False
        self.failed = 0 if alive is True else self.failed + 1
        if self.failed >= FAILED_PROBES:
            self.timer.cancel()
            self.exchange.cancel()

    def ended(
        self, exchange: http_client.Exchange
    ) -> answers.Answer | Unreached:
        """Read the exchange."""
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
