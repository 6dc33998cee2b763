"""The HTTP interface for clients and operators."""

import dataclasses
import hmac
from collections.abc import Callable
from typing import Any, Final

import msgspec
import prometheus_client
from twisted.internet import defer
from twisted.web import http, resource, server

from guavaroad import settings
from guavaroad.domain import codes, names
from guavaroad.services import answers, configuration, forwarding, submissions

_MAX_ID_BLOCK: Final = 10_000
_JSON: Final = 'application/json'


class MintBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request for ids."""

    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """Whom a bearer token names.

    Attributes:
        team: Team, empty for an operator.
        operator: Whether it may see and patch the configuration.
    """

    team: names.TeamName
    operator: bool


class Tokens:
    """Bearer tokens of the settings."""

    def __init__(self, *, tokens: tuple[settings.Token, ...]) -> None:
        self.tokens = tokens

    def caller(self, authorization: str) -> Caller | None:
        """Return whom the header names; none if it names nobody."""
        given = authorization.removeprefix('Bearer ').encode()
        for known in self.tokens:
            secret = known.token.get_secret_value().encode()
            if hmac.compare_digest(secret, given):
                return Caller(
                    team=names.TeamName(known.team or ''),
                    operator=known.operator,
                )
        return None


class ApiResource(resource.Resource):
    """Routes every request below `/`."""

    isLeaf = True

    def __init__(
        self,
        *,
        tokens: Tokens,
        submission_service: submissions.SubmissionService,
        configuration_service: configuration.ConfigurationService,
        state: Callable[[], Any],
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        super().__init__()
        self.tokens = tokens
        self.submissions = submission_service
        self.configuration = configuration_service
        self.state = state
        self.registry = registry

    def render(self, request: server.Request) -> int:
        """Answer now or later."""
        pending = defer.maybeDeferred(self.route, request)
        pending.addErrback(internal_error)
        pending.addCallback(send, request)
        gone = request.notifyFinish()
        gone.addErrback(lambda _: None)
        return server.NOT_DONE_YET

    def route(self, request: server.Request) -> Any:
        """Serve the open pages, then those that need a token."""
        path = [part.decode() for part in request.postpath or ()]
        match (request.method, path):
            case (b'GET', ['healthz']):
                return answers.Answer(status=http.OK, body=b'{"alive":true}')
            case (b'GET', ['readyz']):
                return self.ready()
            case (b'GET', ['metrics']):
                return answers.Answer(
                    status=http.OK,
                    body=prometheus_client.generate_latest(self.registry),
                )
        authorization = request.getHeader('Authorization') or ''
        caller = self.tokens.caller(authorization)
        if caller is None:
            return answers.plain(codes.ResultCode.UNAUTHENTICATED)
        if caller.operator:
            return self.route_operator(request, path)
        return self.route_client(request, path, caller)

    def ready(self) -> answers.Answer:
        """Answer whether the balancer should send work here."""
        ready = (
            self.configuration.in_force is not None
            and not self.submissions.draining
        )
        text = b'{"ready":true}' if ready else b'{"ready":false}'
        status = http.OK if ready else http.SERVICE_UNAVAILABLE
        return answers.Answer(status=status, body=text)

    def route_operator(self, request: server.Request, path: list[str]) -> Any:
        """Serve the operators' pages."""
        match (request.method, path):
            case (b'GET', ['v1', 'config']):
                return self.configuration.show()
            case (b'PATCH', ['v1', 'config']):
                base = (request.getHeader('If-Match') or '').strip('"')
                if not base.isdecimal():
                    return answers.plain(
                        codes.ResultCode.BAD_REQUEST,
                        detail='If-Match must name a version',
                    )
                return self.configuration.patch(int(base), read_body(request))
            case (b'GET', ['v1', 'state']):
                return answers.Answer(
                    status=http.OK, body=msgspec.json.encode(self.state())
                )
        return answers.plain(codes.ResultCode.NOT_FOUND)

    def route_client(
        self, request: server.Request, path: list[str], caller: Caller
    ) -> Any:
        """Serve the clients' pages."""
        match (request.method, path):
            case (b'POST', ['v1', 'submission-ids']):
                body = msgspec.json.decode(
                    read_body(request) or b'{}', type=MintBody
                )
                return self.submissions.mint_block(
                    caller.team, min(max(1, body.count), _MAX_ID_BLOCK)
                )
            case (b'POST', ['v1', 'jobs', job, 'submissions']):
                return self.submissions.submit(
                    submit_request(request, names.JobName(job), caller)
                )
        return answers.plain(codes.ResultCode.NOT_FOUND)


def submit_request(
    request: server.Request, job: names.JobName, caller: Caller
) -> submissions.SubmitRequest:
    """Read a submission from its HTTP request."""
    return submissions.SubmitRequest(
        team=caller.team,
        job=job,
        key=request.getHeader('Idempotency-Key') or '',
        body=read_body(request),
        authorization=request.getHeader('Authorization') or '',
        forwarded=request.getHeader(forwarding.FORWARDED_HEADER) == 'yes',
    )


def read_body(request: server.Request) -> bytes:
    """Return the whole request body."""
    content: Any = request.content
    return bytes(content.read())


def internal_error(broken: Any) -> answers.Answer:
    """Answer for a handler that raised."""
    return answers.plain(
        codes.ResultCode.INTERNAL, detail=broken.getErrorMessage()
    )


def send(answer: answers.Answer, request: server.Request) -> None:
    """Write the answer unless the client has gone."""
    if request._disconnected:
        return
    request.setResponseCode(answer.status)
    request.setHeader('Content-Type', _JSON)
    request.setHeader('Content-Length', str(len(answer.body)))
    if answer.retry_after_s:
        request.setHeader('Retry-After', str(round(answer.retry_after_s)))
    request.write(answer.body)
    request.finish()
