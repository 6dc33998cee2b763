"""HTTP API for clients and operators."""

import inspect
from collections.abc import Callable
from typing import Any, Final

import msgspec
from twisted.internet import defer
from twisted.python import failure
from twisted.web import http, resource, server

from guavaroad.adapters import (
    http_api_reading,
    http_api_routes,
    http_api_tokens,
    http_api_writing,
    logs,
)
from guavaroad.domain import codes, json_input
from guavaroad.ports import metrics, timers
from guavaroad.services import (
    answers,
    configuration,
    forwarding,
    submissions,
)

_MAX_ID_BLOCK: Final = 10_000
_MAX_OPERATION_CHARS: Final = 128
_LOG: Final = logs.logger_of('api')


class ApiHandlers:
    """Request handlers of the API."""

    def __init__(
        self,
        *,
        submission_service: submissions.SubmissionService,
        configuration_service: configuration.ConfigurationService,
        state: Callable[[], Any],
        metrics_page: Callable[[], bytes],
    ) -> None:
        self.submissions = submission_service
        self.configuration = configuration_service
        self.state = state
        self.metrics_page = metrics_page

    def show_liveness(
        self, _: http_api_routes.RequestContext
    ) -> answers.Answer:
        """Answer that the event loop runs."""
        epoch = self.submissions.minter.incarnation.epoch
        body = msgspec.json.encode({'alive': True, 'epoch': epoch})
        return answers.Answer(status=http.OK, body=body)

    def show_readiness(
        self, _: http_api_routes.RequestContext
    ) -> answers.Answer:
        """Answer whether the load balancer should send requests here."""
        ready = (
            self.configuration.in_force is not None
            and not self.submissions.draining
        )
        text = b'{"ready":true}' if ready else b'{"ready":false}'
        status = http.OK if ready else http.SERVICE_UNAVAILABLE
        return answers.Answer(status=status, body=text)

    def metrics(self, _: http_api_routes.RequestContext) -> answers.Answer:
        """Answer with the metrics in the Prometheus text format."""
        return answers.Answer(status=http.OK, body=self.metrics_page())

    def mint(self, context: http_api_routes.RequestContext) -> answers.Answer:
        """Mint a block of submission ids."""
        body = http_api_reading.body_of(context.request) or b'{}'
        decoded = json_input.decode(body, http_api_reading.MintBody)
        match decoded:
            case json_input.Malformed():
                return bad_request(decoded.reason)
        if not 1 <= decoded.count <= _MAX_ID_BLOCK:
            return bad_request(f'count must be from 1 to {_MAX_ID_BLOCK}')
        team = http_api_reading.team_of(context)
        return self.submissions.mint_block(team, decoded.count)

    def submit(self, context: http_api_routes.RequestContext) -> Any:
        """Accept a submission and answer when it has ended."""
        return self.submissions.submit(http_api_reading.submission_of(context))

    def show_submission(self, context: http_api_routes.RequestContext) -> Any:
        """Answer with the state of a submission."""
        return self.show_or_cancel(context, forwarding.Method.SHOW)

    def cancel_submission(self, context: http_api_routes.RequestContext) -> Any:
        """Cancel a submission."""
        return self.show_or_cancel(context, forwarding.Method.CANCEL)

    def show_or_cancel(
        self, context: http_api_routes.RequestContext, method: forwarding.Method
    ) -> Any:
        """Show or cancel a submission at its owner."""
        call, forwarded = http_api_reading.status_request_of(context, method)
        team = http_api_reading.team_of(context)
        return self.submissions.show_or_cancel(team, call, forwarded=forwarded)

    def show_config(
        self, context: http_api_routes.RequestContext
    ) -> answers.Answer:
        """Answer with the configuration in force or the state of a patch."""
        operation = http_api_reading.query_of(context.request, b'operation')
        return self.configuration.show(operation)

    def patch_config(self, context: http_api_routes.RequestContext) -> Any:
        """Apply a merge patch to the version that If-Match names."""
        base = http_api_reading.base_version_of(context.request)
        if base is None:
            return bad_request('If-Match must name a version')
        change = http_api_reading.body_of(context.request)
        decoded = json_input.decode(change, object)
        match decoded:
            case json_input.Malformed():
                return bad_request(f'the patch: {decoded.reason}')
        operation = http_api_reading.text_header(
            context.request, b'Idempotency-Key'
        )
        if len(operation) > _MAX_OPERATION_CHARS:
            return bad_request('Idempotency-Key is too long')
        return self.configuration.patch(base, change, operation)

    def show_state(self, _: http_api_routes.RequestContext) -> answers.Answer:
        """Answer with the state dump of this process."""
        return answers.Answer(
            status=http.OK, body=msgspec.json.encode(self.state())
        )


def route_table(handlers: ApiHandlers) -> http_api_routes.RouteTable:
    """Return the routes of the API.

    Args:
        handlers: Handlers of the routes.

    Returns:
        The route table.
    """
    access = http_api_routes.Access
    submission_path = '/v1/submissions/{id}'
    rows = (
        ('GET', '/healthz', access.OPEN, handlers.show_liveness),
        ('GET', '/readyz', access.OPEN, handlers.show_readiness),
        ('GET', '/metrics', access.OPEN, handlers.metrics),
        ('POST', '/v1/submission-ids', access.CLIENT, handlers.mint),
        ('POST', '/v1/jobs/{job}/submissions', access.CLIENT, handlers.submit),
        ('GET', submission_path, access.CLIENT, handlers.show_submission),
        ('DELETE', submission_path, access.CLIENT, handlers.cancel_submission),
        ('GET', '/v1/config', access.OPERATOR, handlers.show_config),
        ('PATCH', '/v1/config', access.OPERATOR, handlers.patch_config),
        ('GET', '/v1/state', access.OPERATOR, handlers.show_state),
    )
    return http_api_routes.RouteTable(
        routes=tuple(
            http_api_routes.Route(
                method=method, path=path, access=allowed, handler=handler
            )
            for method, path, allowed, handler in rows
        )
    )


class ApiResource(resource.Resource):
    """Root resource: routes, authorizes and answers every request.

    Attributes:
        metrics: Sink of the request metrics.
        timers: Timer service.
        tokens: Accepted bearer tokens.
        routes: Routes of the API.
    """

    isLeaf = True

    def __init__(
        self,
        *,
        tokens: http_api_tokens.Tokens,
        routes: http_api_routes.RouteTable,
        sink: metrics.MetricsPort,
        timer_service: timers.TimerService,
    ) -> None:
        super().__init__()
        self.metrics = sink
        self.timers = timer_service
        self.tokens = tokens
        self.routes = routes

    def render(self, request: server.Request) -> int:
        """Answer a request asynchronously."""
        finished = request.notifyFinish()
        finished.addErrback(lambda _: None)
        pending = defer.maybeDeferred(self.answer, request)
        pending.addErrback(internal_error)
        pending.addCallback(self.count, self.timers.now())
        pending.addCallback(http_api_writing.send, request)
        pending.addErrback(log_internal_error)
        return server.NOT_DONE_YET

    def count(self, answer: answers.Answer, started_s: float) -> answers.Answer:
        """Record an answer and its latency."""
        self.metrics.request_answered(
            answer.code, self.timers.now() - started_s
        )
        return answer

    def answer(self, request: server.Request) -> Any:
        """Route a request to its handler."""
        method = bytes(request.method).decode('ascii', errors='replace')
        path = http_api_reading.path_of(request)
        resolved = self.routes.resolve(method, path)
        match resolved:
            case http_api_routes.NoRoute():
                return answers.plain(codes.ResultCode.NOT_FOUND)
            case http_api_routes.MethodNotAllowed():
                request.setHeader('Allow', ', '.join(resolved.allowed))
                return answers.plain(codes.ResultCode.METHOD_NOT_ALLOWED)
        return self.authorize(request, resolved)

    def authorize(
        self, request: server.Request, route_match: http_api_routes.RouteMatch
    ) -> Any:
        """Check the bearer token, then call the handler."""
        access = route_match.route.access
        caller = self.tokens.caller(
            http_api_reading.header_of(request, b'Authorization')
        )
        error_code = authorization_error(access, caller)
        if error_code is not None:
            return answers.plain(error_code)
        context = http_api_routes.RequestContext(
            request=request, caller=caller, parts=route_match.parts
        )
        handled = route_match.route.handler(context)
        if inspect.iscoroutine(handled):
            return defer.ensureDeferred(handled)
        return handled


def authorization_error(
    access: http_api_routes.Access, caller: http_api_tokens.Caller | None
) -> codes.ResultCode | None:
    """Return the result code if a caller has no access to a route.

    Args:
        access: Access level of the route.
        caller: Caller that the token identifies, if any.

    Returns:
        The result code, or None if access is granted.
    """
    if access is http_api_routes.Access.OPEN:
        return None
    if caller is None:
        return codes.ResultCode.UNAUTHENTICATED
    if access is http_api_routes.Access.TOKEN:
        return None
    operator_only = access is http_api_routes.Access.OPERATOR
    if caller.operator is not operator_only:
        return codes.ResultCode.FORBIDDEN
    return None


def bad_request(detail: str) -> answers.Answer:
    """Return the answer to a malformed request."""
    return answers.plain(codes.ResultCode.BAD_REQUEST, detail=detail)


def internal_error(caught: failure.Failure) -> answers.Answer:
    """Log the exception of a handler and return an answer without it."""
    log_internal_error(caught)
    return answers.plain(codes.ResultCode.INTERNAL)


def log_internal_error(caught: failure.Failure) -> None:
    """Log an unexpected exception with its traceback."""
    _LOG.opt(exception=caught.value).error('internal error')
