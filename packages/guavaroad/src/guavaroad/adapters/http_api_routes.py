"""Routes of the API, looked up by method and path."""

import dataclasses
import enum
from collections.abc import Callable
from typing import Any

from twisted.web import server

from guavaroad.adapters import http_api_tokens


class Access(enum.Enum):
    """Who may use a route."""

    OPEN = 'open'
    CLIENT = 'client'
    OPERATOR = 'operator'
    TOKEN = 'token'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestContext:
    """A routed request, as its handler receives it.

    Attributes:
        request: The HTTP request with its complete body.
        caller: Caller that the bearer token identifies, if any.
        parts: Variable parts of the path, in order.
    """

    request: server.Request
    caller: http_api_tokens.Caller | None
    parts: tuple[str, ...]


Handler = Callable[[RequestContext], Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A method and a path template with their handler.

    Attributes:
        method: HTTP method.
        path: Path template; a part in braces matches any text.
        access: Who may use the route.
        handler: Returns an answer, a Deferred or a coroutine.
    """

    method: str
    path: str
    access: Access
    handler: Handler

    def match(self, path: tuple[str, ...]) -> tuple[str, ...] | None:
        """Return the variable parts of a matching path, or None."""
        template = self.path.strip('/').split('/')
        if len(template) != len(path):
            return None
        part_pairs = list(zip(template, path, strict=True))
        if any(
            _differ(template_part, part) for template_part, part in part_pairs
        ):
            return None
        return tuple(
            part
            for template_part, part in part_pairs
            if template_part[0] == '{'
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteMatch:
    """A matching route, with the variable parts of the path."""

    route: Route
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MethodNotAllowed:
    """The path has routes, but none for the method.

    Attributes:
        allowed: Methods of the path, sorted.
    """

    allowed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoRoute:
    """No route has that path."""


Resolved = RouteMatch | MethodNotAllowed | NoRoute


class RouteTable:
    """Routes of the API."""

    def __init__(self, *, routes: tuple[Route, ...]) -> None:
        self.routes = list(routes)

    def resolve(self, method: str, path: tuple[str, ...]) -> Resolved:
        """Find the route of a request.

        Args:
            method: HTTP method; HEAD is routed as GET.
            path: Unescaped parts of the path.

        Returns:
            The match, or why there is none.
        """
        matches = [
            RouteMatch(route=route, parts=parts)
            for route in self.routes
            if (parts := route.match(path)) is not None
        ]
        if not matches:
            return NoRoute()
        lookup_method = 'GET' if method == 'HEAD' else method
        by_method = {match.route.method: match for match in matches}
        allowed = tuple(sorted(by_method))
        return by_method.get(lookup_method, MethodNotAllowed(allowed=allowed))


def _differ(template_part: str, part: str) -> bool:
    return template_part[0] != '{' and template_part != part
