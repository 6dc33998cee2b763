"""Blocking HTTP client for tests, demo and benchmarks."""

import contextlib
import dataclasses
from http import client
from typing import Any

import msgspec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: dict[str, str]

    def decoded(self) -> Any:
        """Return the JSON-decoded body."""
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
    """Send one request on a new connection.

    Args:
        method: HTTP method.
        address: `ip:port`.
        path: Path and query.
        body: Value to encode as JSON; bytes are sent unchanged.
        headers: Header values by name.
        timeout_s: Socket timeout, in seconds.

    Returns:
        The response.

    Raises:
        OSError: The connection failed or timed out.
        client.HTTPException: The response was incomplete or invalid.
    """
    new_connection = client.HTTPConnection(address, timeout=timeout_s)
    with contextlib.closing(new_connection) as connection:
        connection.request(method, path, _encode(body), headers or {})
        return _read(connection.getresponse())


def _encode(body: Any) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _read(response: client.HTTPResponse) -> Reply:
    headers = {name.lower(): text for name, text in response.getheaders()}
    return Reply(status=response.status, body=response.read(), headers=headers)
