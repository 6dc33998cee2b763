"""HTTP client that fails over between instances."""

import dataclasses
from typing import Any, Final

from guavaroad.adapters import http_client
from guavaroadctl import endpoints, exit_codes, reports

_CONNECT_TIMEOUT_S: Final = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request that any instance can serve.

    Attributes:
        method: HTTP method.
        path: URL path.
        body: Body, may be empty.
        headers: Headers other than `Authorization`.
        is_idempotent: Whether it may be sent more than once.
        timeout_s: Timeout in seconds; 0 for the client's default.
    """

    method: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    is_idempotent: bool = True
    timeout_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """An HTTP reply and the instance that sent it."""

    endpoint: endpoints.Endpoint
    reply: http_client.Reply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unanswered:
    """No instance answered.

    Attributes:
        sent: Whether an instance may have received the request.
        details: One error message for each instance that was tried.
    """

    sent: bool
    details: tuple[str, ...]

    def problem(self) -> reports.Problem:
        """Return the problem to report to the user."""
        tried = '; '.join(self.details)
        if self.sent:
            return reports.Problem(
                exit_code=exit_codes.ExitCode.UNKNOWN,
                message=f'sent, but no answer: {tried}',
            )
        return reports.Problem(
            exit_code=exit_codes.ExitCode.UNREACHED,
            message=f'no instance reached: {tried}',
        )


class FailoverClient:
    """Sends each request to the first instance that answers."""

    def __init__(
        self,
        *,
        reactor: Any,
        targets: tuple[endpoints.Endpoint, ...],
        token: str,
        timeout_s: float,
        trust: Any,
    ) -> None:
        self.targets = targets
        self.token = token
        self.timeout_s = timeout_s
        self.client = http_client.HttpClient(
            reactor=reactor,
            connections_per_host=1,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            trust=trust,
        )

    async def send(self, request: Request) -> Response | Unanswered:
        """Try the instances in order until one answers.

        Args:
            request: The request. Unless it is idempotent, no further
                instance is tried once it may have been received.

        Returns:
            The first response, or the errors of the instances tried.
        """
        details: list[str] = []
        sent = False
        for target in self.targets:
            exchange = await self.send_to(target, request)
            match exchange:
                case http_client.Reply():
                    self.prefer(target)
                    return Response(endpoint=target, reply=exchange)
            details.append(f'{target.address}: {exchange.detail}')
            sent = sent or isinstance(exchange, http_client.NoReply)
            if sent and not request.is_idempotent:
                break
        return Unanswered(sent=sent, details=tuple(details))

    async def send_to(
        self, target: endpoints.Endpoint, request: Request
    ) -> http_client.Exchange:
        """Send a request to one instance."""
        headers = {'Authorization': f'Bearer {self.token}'} | request.headers
        return await self.client.exchange(
            http_client.Call(
                method=request.method,
                url=target.url(request.path),
                headers=headers,
                body=request.body,
                timeout_s=request.timeout_s or self.timeout_s,
            )
        )

    def prefer(self, preferred: endpoints.Endpoint) -> None:
        """Move an instance to the front of the list of targets."""
        others = [target for target in self.targets if target != preferred]
        self.targets = (preferred, *others)
