"""Blocking HTTP calls of tests, demo and bench."""

import contextlib
import dataclasses
from http import client
from typing import Any

import msgspec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A whole HTTP answer."""

    status: int
    body: bytes
    headers: dict[str, str]

    def decoded(self) -> Any:
        """Return the body decoded from JSON."""
        return msgspec.json.decode(self.body)


def call(
    method: str,
    address: str,
    path: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30,
) -> Reply:
    """Send one request on a connection of its own.

    Args:
        method: HTTP method.
        address: `ip:port`.
        path: Path and query.
        body: Value sent as JSON; bytes are sent as they are.
        headers: Header values by name.
        timeout_s: Longest wait on the socket.

    Returns:
        The answer.

    Raises:
        OSError: If no connection or no answer came.
        client.HTTPException: If the connection ended early.
    """
    opened = client.HTTPConnection(address, timeout=timeout_s)
    with contextlib.closing(opened) as connection:
        connection.request(method, path, _encoded(body), headers or {})
        return _read(connection.getresponse())


def _encoded(body: Any) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _read(response: client.HTTPResponse) -> Reply:
    headers = {name.lower(): text for name, text in response.getheaders()}
    return Reply(status=response.status, body=response.read(), headers=headers)
