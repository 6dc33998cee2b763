"""Queries instances for their state and readiness."""

import dataclasses
from http import HTTPStatus
from typing import Any, Final

from twisted.internet import defer

from guavaroad.adapters import http_client
from guavaroadctl import (
    endpoints,
    failover_client,
    replies,
    session,
    state_dump,
)

STATE: Final = failover_client.Request(method='GET', path='/v1/state')
_READY: Final = failover_client.Request(method='GET', path='/readyz')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceView:
    """State of one instance as returned by itself.

    Attributes:
        endpoint: Client endpoint of the instance.
        state: Its state dump, or None if it returned none.
        ready: Whether it reports ready.
        problem: Why there is no state dump; empty if there is one.
    """

    endpoint: endpoints.Endpoint
    state: Any = None
    ready: bool = False
    problem: str = ''


async def query_all(ctx: session.Session) -> list[InstanceView]:
    """Query the instances of the flags and, transitively, their peers.

    Args:
        ctx: Command context.

    Returns:
        One view per instance, sorted by address.
    """
    views: dict[endpoints.Endpoint, InstanceView] = {}
    pending = set(ctx.client.targets)
    while pending:
        queries = [
            defer.ensureDeferred(query(ctx, target)) for target in pending
        ]
        new_views = await defer.gatherResults(queries)
        views |= {view.endpoint: view for view in new_views}
        peers = {peer for view in new_views for peer in _peers(view)}
        pending = peers - views.keys()
    return sorted(views.values(), key=lambda view: view.endpoint.address)


async def query(
    ctx: session.Session, target: endpoints.Endpoint
) -> InstanceView:
    """Query one instance for its state and readiness."""
    exchange = await ctx.client.send_to(target, STATE)
    match exchange:
        case http_client.Reply():
            page = replies.decode_page(
                failover_client.Response(endpoint=target, reply=exchange)
            )
            return await _view_of_page(ctx, target, page)
    return InstanceView(endpoint=target, problem=exchange.detail)


async def _view_of_page(
    ctx: session.Session, target: endpoints.Endpoint, page: Any
) -> InstanceView:
    match page:
        case replies.DecodedAnswer():
            return InstanceView(endpoint=target, problem=page.answer.detail)
        case dict():
            ready = await ctx.client.send_to(target, _READY)
            return InstanceView(
                endpoint=target, state=page, ready=_is_ok(ready)
            )
    return InstanceView(endpoint=target, problem='not an answer of guavaroad')


def _is_ok(exchange: http_client.Exchange) -> bool:
    match exchange:
        case http_client.Reply():
            return exchange.status == HTTPStatus.OK
    return False


def _peers(view: InstanceView) -> tuple[endpoints.Endpoint, ...]:
    return state_dump.peer_endpoints(view.state, view.endpoint.scheme)
