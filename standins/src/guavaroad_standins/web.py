"""Helpers for `twisted.web` servers of the stand-ins."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec
from twisted.internet import defer, task
from twisted.internet import reactor as default_reactor
from twisted.web import http, resource, server

_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An HTTP response to send.

    Attributes:
        status: HTTP status.
        body: Body bytes.
        headers: Header values by name.
        dropped: Whether to abort the connection instead of answering.
    """

    status: int = http.OK
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    dropped: bool = False


_reactor: Any = default_reactor
DROPPED = Answer(dropped=True)


def json_answer(value: Any, status: int = http.OK) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(status=status, body=msgspec.json.encode(value))


Handler = Callable[[server.Request], 'Answer | defer.Deferred[Answer]']


class Leaf(resource.Resource):
    """Resource that passes all requests below its path to one handler."""

    isLeaf = True

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self.handler = handler

    def render(self, request: server.Request) -> int:
        """Answer when the handler returns or its Deferred fires."""
        pending: Any = defer.maybeDeferred(self.handler, request)
        pending.addCallback(_send, request)
        pending.addErrback(_send_error, request)
        finished = request.notifyFinish()
        finished.addErrback(lambda _: None)
        return server.NOT_DONE_YET


def parts(request: server.Request) -> list[str]:
    """Return the unescaped path segments below the resource."""
    return [part.decode() for part in request.postpath or ()]


def body(request: server.Request) -> bytes:
    """Return the whole request body."""
    content: Any = request.content
    return bytes(content.read())


def delay_answer(delay_ms: int, answer: Answer) -> 'defer.Deferred[Answer]':
    """Return a Deferred that fires with an answer after a delay."""
    return task.deferLater(_reactor, delay_ms / _MS_PER_S, lambda: answer)


def sleep(delay_ms: int) -> 'defer.Deferred[None]':
    """Return a Deferred that fires after a delay."""
    return task.deferLater(_reactor, delay_ms / _MS_PER_S, lambda: None)


def listen(served_site: server.Site, host: str, port: int) -> None:
    """Listen on a port for a site."""
    _reactor.listenTCP(port, served_site, interface=host)


def run() -> None:
    """Run the reactor until the process is killed."""
    _reactor.run()


def site(root: Any) -> server.Site:
    """Return a site without an access log."""
    quiet_site: Any = server.Site(root)
    quiet_site.noisy = False
    quiet_site.displayTracebacks = False
    quiet_site.log = lambda *_: None
    return quiet_site  # type: ignore[no-any-return]


def _send(answer: Answer, request: Any) -> None:
    if request._disconnected:
        return
    if answer.dropped:
        request.transport.abortConnection()
        return
    request.setResponseCode(answer.status)
    for name, text in answer.headers.items():
        request.setHeader(name, text)
    request.setHeader('Content-Type', 'application/json')
    request.setHeader('Content-Length', str(len(answer.body)))
    request.write(answer.body)
    request.finish()


def _send_error(failure: Any, request: Any) -> None:
    text = {'error': failure.getErrorMessage()}
    _send(json_answer(text, http.BAD_REQUEST), request)
