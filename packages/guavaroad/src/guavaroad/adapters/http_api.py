"""The HTTP interface for clients and operators."""

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


class Pages:
    """Handlers of the pages."""

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

    def alive(self, _: http_api_routes.Visit) -> answers.Answer:
        """Answer that the loop turns."""
        epoch = self.submissions.minter.incarnation.epoch
        body = msgspec.json.encode({'alive': True, 'epoch': epoch})
        return answers.Answer(status=http.OK, body=body)

    def ready(self, _: http_api_routes.Visit) -> answers.Answer:
        """Answer whether the balancer should send work here."""
        ready = (
            self.configuration.in_force is not None
            and not self.submissions.draining
        )
        text = b'{"ready":true}' if ready else b'{"ready":false}'
        status = http.OK if ready else http.SERVICE_UNAVAILABLE
        return answers.Answer(status=status, body=text)

    def metrics(self, _: http_api_routes.Visit) -> answers.Answer:
        """Answer with the metrics as text."""
        return answers.Answer(status=http.OK, body=self.metrics_page())

    def mint(self, visit: http_api_routes.Visit) -> answers.Answer:
        """Mint a block of submission ids."""
        body = http_api_reading.body_of(visit.request) or b'{}'
        asked = json_input.decode(body, http_api_reading.MintBody)
        match asked:
            case json_input.Malformed():
                return bad_request(asked.reason)
        if not 1 <= asked.count <= _MAX_ID_BLOCK:
            return bad_request(f'count must be from 1 to {_MAX_ID_BLOCK}')
        team = http_api_reading.team_of(visit)
        return self.submissions.mint_block(team, asked.count)

    def submit(self, visit: http_api_routes.Visit) -> Any:
        """Take a submission and answer when it has ended."""
        return self.submissions.submit(http_api_reading.submission_of(visit))

    def show_submission(self, visit: http_api_routes.Visit) -> Any:
        """Answer how far a submission is."""
        return self.ask(visit, forwarding.Method.SHOW)

    def cancel_submission(self, visit: http_api_routes.Visit) -> Any:
        """Cancel a submission."""
        return self.ask(visit, forwarding.Method.CANCEL)

    def ask(
        self, visit: http_api_routes.Visit, method: forwarding.Method
    ) -> Any:
        """Hand a question about a submission on."""
        call, forwarded = http_api_reading.question_of(visit, method)
        team = http_api_reading.team_of(visit)
        return self.submissions.show_or_cancel(team, call, forwarded=forwarded)

    def show_config(self, visit: http_api_routes.Visit) -> answers.Answer:
        """Answer with the configuration in force, or an operation's state."""
        operation = http_api_reading.query_of(visit.request, b'operation')
        return self.configuration.show(operation)

    def patch_config(self, visit: http_api_routes.Visit) -> Any:
        """Apply a merge patch to a version."""
        base = http_api_reading.base_version_of(visit.request)
        if base is None:
            return bad_request('If-Match must name a version')
        change = http_api_reading.body_of(visit.request)
        decoded = json_input.decode(change, object)
        match decoded:
            case json_input.Malformed():
                return bad_request(f'the patch: {decoded.reason}')
        operation = http_api_reading.text_header(
            visit.request, b'Idempotency-Key'
        )
        if len(operation) > _MAX_OPERATION_CHARS:
            return bad_request('Idempotency-Key is too long')
        return self.configuration.patch(base, change, operation)

    def show_state(self, _: http_api_routes.Visit) -> answers.Answer:
        """Answer with the dump of this process."""
        return answers.Answer(
            status=http.OK, body=msgspec.json.encode(self.state())
        )


def route_table(pages: Pages) -> http_api_routes.RouteTable:
    """Return every page with its methods.

    Args:
        pages: The handlers.

    Returns:
        The table.
    """
    access = http_api_routes.Access
    one_path = '/v1/submissions/{id}'
    rows = (
        ('GET', '/healthz', access.OPEN, pages.alive),
        ('GET', '/readyz', access.OPEN, pages.ready),
        ('GET', '/metrics', access.OPEN, pages.metrics),
        ('POST', '/v1/submission-ids', access.CLIENT, pages.mint),
        ('POST', '/v1/jobs/{job}/submissions', access.CLIENT, pages.submit),
        ('GET', one_path, access.CLIENT, pages.show_submission),
        ('DELETE', one_path, access.CLIENT, pages.cancel_submission),
        ('GET', '/v1/config', access.OPERATOR, pages.show_config),
        ('PATCH', '/v1/config', access.OPERATOR, pages.patch_config),
        ('GET', '/v1/state', access.OPERATOR, pages.show_state),
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
    """Routes every request below `/`."""

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
        """Answer now or later."""
        gone = request.notifyFinish()
        gone.addErrback(lambda _: None)
        pending = defer.maybeDeferred(self.answer, request)
        pending.addErrback(internal_error)
        pending.addCallback(self.count, self.timers.now())
        pending.addCallback(http_api_writing.send, request)
        pending.addErrback(log_broken)
        return server.NOT_DONE_YET

    def count(self, answer: answers.Answer, started_s: float) -> answers.Answer:
        """Count an answer and the time it took."""
        self.metrics.request_answered(
            answer.code, self.timers.now() - started_s
        )
        return answer

    def answer(self, request: server.Request) -> Any:
        """Find the page and hand the request to its handler."""
        method = bytes(request.method).decode('ascii', errors='replace')
        path = http_api_reading.path_of(request)
        resolved = self.routes.resolve(method, path)
        match resolved:
            case http_api_routes.NoPage():
                return answers.plain(codes.ResultCode.NOT_FOUND)
            case http_api_routes.WrongMethod():
                request.setHeader('Allow', ', '.join(resolved.allowed))
                return answers.plain(codes.ResultCode.METHOD_NOT_ALLOWED)
        return self.enter(request, resolved)

    def enter(
        self, request: server.Request, found: http_api_routes.Found
    ) -> Any:
        """Check the token and call the handler."""
        access = found.route.access
        caller = self.tokens.caller(
            http_api_reading.header_of(request, b'Authorization')
        )
        refusal = refusal_of(access, caller)
        if refusal is not None:
            return answers.plain(refusal)
        visit = http_api_routes.Visit(
            request=request, caller=caller, parts=found.parts
        )
        handled = found.route.handler(visit)
        if inspect.iscoroutine(handled):
            return defer.ensureDeferred(handled)
        return handled


def refusal_of(
    access: http_api_routes.Access, caller: http_api_tokens.Caller | None
) -> codes.ResultCode | None:
    """Return why the caller may not use a page, if it may not.

    Args:
        access: Who may use it.
        caller: Whom the token names.

    Returns:
        The code of the refusal.
    """
    if access is http_api_routes.Access.OPEN:
        return None
    if caller is None:
        return codes.ResultCode.UNAUTHENTICATED
    if access is http_api_routes.Access.TOKEN:
        return None
    wanted = access is http_api_routes.Access.OPERATOR
    if caller.operator is not wanted:
        return codes.ResultCode.FORBIDDEN
    return None


def bad_request(detail: str) -> answers.Answer:
    """Answer that the request is not well formed."""
    return answers.plain(codes.ResultCode.BAD_REQUEST, detail=detail)


def internal_error(broken: failure.Failure) -> answers.Answer:
    """Answer for a handler that raised; the log has the traceback."""
    log_broken(broken)
    return answers.plain(codes.ResultCode.INTERNAL)


def log_broken(broken: failure.Failure) -> None:
    """Log an exception that nothing expected."""
    _LOG.opt(exception=broken.value).error('internal error')
