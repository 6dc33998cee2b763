"""Requests of the command line to whichever instance answers."""

import dataclasses
from typing import Any, Final

from guavaroad.adapters import http_client

_CONNECT_TIMEOUT_S: Final = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Where and as whom to ask.

    Attributes:
        addresses: Instances to try in order.
        token: Bearer token.
        timeout_s: Longest wait for one answer.
    """

    addresses: tuple[str, ...]
    token: str
    timeout_s: float


class Connection:
    """Sends a request to the first instance that takes a connection."""

    def __init__(self, *, reactor: Any, target: Target) -> None:
        self.target = target
        self.client = http_client.HttpClient(
            reactor=reactor,
            connections_per_host=1,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )

    def authorization(self) -> dict[str, str]:
        """Return the header that names the caller."""
        token = self.target.token
        return {'Authorization': f'Bearer {token}'}

    async def ask(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> http_client.Exchange:
        """Ask the instances in order until one takes the request.

        Args:
            method: HTTP method.
            path: Path below the instance.
            body: Request body.
            headers: Headers beside the token.

        Returns:
            The exchange with the first instance that was reached.
        """
        exchange: http_client.Exchange = http_client.NotSent(
            detail='no address given'
        )
        for address in self.target.addresses:
            exchange = await self.client.exchange(
                http_client.Call(
                    method=method,
                    url=f'http://{address}{path}',
                    headers=self.authorization() | (headers or {}),
                    body=body,
                    timeout_s=self.target.timeout_s,
                )
            )
            if not isinstance(exchange, http_client.NotSent):
                return exchange
        return exchange
