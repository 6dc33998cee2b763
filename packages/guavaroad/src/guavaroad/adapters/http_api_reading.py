"""Reads the parts of a request; malformed text never raises."""

from typing import Any, Final
from urllib import parse as urls

import msgspec
from twisted.web import server

from guavaroad.adapters import http_api_routes
from guavaroad.domain import names
from guavaroad.services import (
    forwarding,
    requests,
)

_NO_TEAM: Final = names.TeamName('')
_MAX_VERSION_DIGITS: Final = 18


class MintBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request for submission ids."""

    count: int = 1


def path_of(request: server.Request) -> tuple[str, ...]:
    """Return the unescaped parts of the path.

    Bytes that are not UTF-8 are replaced, so they match no route or name.
    """
    path: bytes = request.path or b''
    escaped = path.strip(b'/').decode('ascii', errors='replace')
    return tuple(map(urls.unquote, escaped.split('/')))


def header_of(request: server.Request, name: bytes) -> bytes:
    """Return the raw value of a header, empty if there is none.

    Args:
        request: The request.
        name: Header name.

    Returns:
        The last value of the header.
    """
    return bytes(request.getHeader(name) or b'')


def text_header(request: server.Request, name: bytes) -> str:
    """Return a header as text; bytes that are not ASCII are replaced."""
    return header_of(request, name).decode('ascii', errors='replace')


def body_of(request: server.Request) -> bytes:
    """Return the whole request body."""
    content: Any = request.content
    content.seek(0)
    return bytes(content.read())


def submission_of(
    context: http_api_routes.RequestContext,
) -> requests.SubmitRequest:
    """Return the submission in a request."""
    request = context.request
    forwarded = header_of(request, forwarding.FORWARDED_HEADER.encode())
    return requests.SubmitRequest(
        team=team_of(context),
        job=names.JobName(context.parts[0]),
        key=text_header(request, b'Idempotency-Key'),
        body=body_of(request),
        authorization=text_header(request, b'Authorization'),
        forwarded=forwarded == b'yes',
        respond_async='respond-async'
        in text_header(request, b'Prefer').replace(',', ' ').split(),
    )


def status_request_of(
    context: http_api_routes.RequestContext, method: forwarding.Method
) -> tuple[forwarding.ForwardedRequest, bool]:
    """Return a request about a submission, and whether a peer forwarded it."""
    request = context.request
    forwarded = header_of(request, forwarding.FORWARDED_HEADER.encode())
    forwarded_request = forwarding.ForwardedRequest(
        method=method,
        submission_id=names.SubmissionId(context.parts[0]),
        authorization=text_header(request, b'Authorization'),
    )
    return forwarded_request, forwarded == b'yes'


def team_of(context: http_api_routes.RequestContext) -> names.TeamName:
    """Return the team of the caller."""
    return context.caller.team if context.caller else _NO_TEAM


def query_of(request: server.Request, name: bytes) -> str:
    """Return the first value of a query field, empty if there is none."""
    arguments: Any = request.args or {}
    first_value = arguments.get(name, [b''])[0]
    return bytes(first_value).decode('ascii', errors='replace')


def base_version_of(request: server.Request) -> int | None:
    """Return the version in If-Match, or None without a valid one."""
    text = text_header(request, b'If-Match').strip('"')
    if not (text.isascii() and text.isdecimal()):
        return None
    return int(text) if len(text) <= _MAX_VERSION_DIGITS else None
