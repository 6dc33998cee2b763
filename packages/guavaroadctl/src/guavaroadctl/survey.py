"""Asks every instance for its state."""

import dataclasses
from http import HTTPStatus
from typing import Any, Final

from twisted.internet import defer

from guavaroad.adapters import http_client
from guavaroadctl import connection, endpoints, replies, session, state_reading

STATE: Final = connection.Request(method='GET', path='/v1/state')
_READY: Final = connection.Request(method='GET', path='/readyz')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """What one instance said of itself.

    Attributes:
        endpoint: Where it was asked.
        state: Its dump; none if it gave none.
        ready: Whether it takes work.
        problem: Why there is no dump, empty if there is one.
    """

    endpoint: endpoints.Endpoint
    state: Any = None
    ready: bool = False
    problem: str = ''


async def every_instance(means: session.Session) -> list[View]:
    """Ask the instances of the flags and those that they know.

    Args:
        means: What commands work with.

    Returns:
        One view an instance, by address.
    """
    views: dict[endpoints.Endpoint, View] = {}
    pending = set(means.link.targets)
    while pending:
        asked = [defer.ensureDeferred(look(means, one)) for one in pending]
        fresh = await defer.gatherResults(asked)
        views |= {view.endpoint: view for view in fresh}
        known = {one for view in fresh for one in _peers(view)}
        pending = known - views.keys()
    return sorted(views.values(), key=lambda view: view.endpoint.address)


async def look(means: session.Session, target: endpoints.Endpoint) -> View:
    """Ask one instance for its state and whether it is ready."""
    exchange = await means.link.ask_one(target, STATE)
    match exchange:
        case http_client.Reply():
            page = replies.read_page(
                connection.Answered(endpoint=target, reply=exchange)
            )
            return await _view(means, target, page)
    return View(endpoint=target, problem=exchange.detail)


async def _view(
    means: session.Session, target: endpoints.Endpoint, page: Any
) -> View:
    match page:
        case replies.Body():
            return View(endpoint=target, problem=page.answer.detail)
        case dict():
            ready = await means.link.ask_one(target, _READY)
            return View(endpoint=target, state=page, ready=_is_ok(ready))
    return View(endpoint=target, problem='not an answer of guavaroad')


def _is_ok(exchange: http_client.Exchange) -> bool:
    match exchange:
        case http_client.Reply():
            return exchange.status == HTTPStatus.OK
    return False


def _peers(view: View) -> tuple[endpoints.Endpoint, ...]:
    return state_reading.peer_endpoints(view.state, view.endpoint.scheme)
