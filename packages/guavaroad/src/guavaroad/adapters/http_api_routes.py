"""Finds the handler of a method and a path."""

import dataclasses
import enum
from collections.abc import Callable
from typing import Any

from twisted.web import server

from guavaroad.adapters import http_api_tokens


class Access(enum.Enum):
    """Who may use a page."""

    OPEN = 'open'
    CLIENT = 'client'
    OPERATOR = 'operator'
    TOKEN = 'token'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Visit:
    """One request at its handler.

    Attributes:
        request: The HTTP request, its body received whole.
        caller: Whom the token names; none on an open page.
        parts: Variable parts of the path, in order.
    """

    request: server.Request
    caller: http_api_tokens.Caller | None
    parts: tuple[str, ...]


Handler = Callable[[Visit], Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One page and one of its methods.

    Attributes:
        method: HTTP method.
        path: Template of the path; a part in braces matches any text.
        access: Who may use it.
        handler: Returns an answer, a Deferred or a coroutine.
    """

    method: str
    path: str
    access: Access
    handler: Handler

    def match(self, path: tuple[str, ...]) -> tuple[str, ...] | None:
        """Return the variable parts of a path, if it is this page's."""
        template = self.path.strip('/').split('/')
        if len(template) != len(path):
            return None
        pairs = list(zip(template, path, strict=True))
        if any(_differ(known, given) for known, given in pairs):
            return None
        return tuple(given for known, given in pairs if known[0] == '{')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Found:
    """A route matches."""

    route: Route
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WrongMethod:
    """The page exists and takes other methods.

    Attributes:
        allowed: Methods it takes, sorted.
    """

    allowed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoPage:
    """No page has that path."""


Resolved = Found | WrongMethod | NoPage


class RouteTable:
    """All pages of the instance."""

    def __init__(self, *, routes: tuple[Route, ...]) -> None:
        self.routes = list(routes)

    def resolve(self, method: str, path: tuple[str, ...]) -> Resolved:
        """Find the handler of a request.

        Args:
            method: HTTP method; HEAD is taken as GET.
            path: Unescaped parts of the path.

        Returns:
            The route, or why there is none.
        """
        found = [
            Found(route=route, parts=parts)
            for route in self.routes
            if (parts := route.match(path)) is not None
        ]
        if not found:
            return NoPage()
        wanted = 'GET' if method == 'HEAD' else method
        by_method = {one.route.method: one for one in found}
        allowed = tuple(sorted(by_method))
        return by_method.get(wanted, WrongMethod(allowed=allowed))


def _differ(known: str, given: str) -> bool:
    return known[0] != '{' and known != given
