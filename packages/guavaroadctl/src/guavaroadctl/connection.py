"""Requests of the command line to whichever instance answers."""

import dataclasses
from typing import Any, Final

from guavaroad.adapters import http_client
from guavaroadctl import endpoints, exit_codes, reports

_CONNECT_TIMEOUT_S: Final = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request below any instance.

    Attributes:
        method: HTTP method.
        path: Path of the page.
        body: Body, may be empty.
        headers: Headers beside the token.
        repeatable: Whether sending it twice does no harm.
        timeout_s: Longest wait for an answer; 0 for the usual one.
    """

    method: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    repeatable: bool = True
    timeout_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A reply and who gave it."""

    endpoint: endpoints.Endpoint
    reply: http_client.Reply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unanswered:
    """No instance answered.

    Attributes:
        sent: Whether the request may have arrived somewhere.
        details: One sentence for each instance that was tried.
    """

    sent: bool
    details: tuple[str, ...]

    def problem(self) -> reports.Problem:
        """Return this as the end of the program."""
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


class Connection:
    """Sends a request to the first instance that answers."""

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

    async def ask(self, request: Request) -> Answered | Unanswered:
        """Ask the instances in order until one answers.

        Args:
            request: What to send; sent on after a broken line only if it
                is repeatable.

        Returns:
            The answer, or that none came.
        """
        details: list[str] = []
        sent = False
        for target in self.targets:
            exchange = await self.ask_one(target, request)
            match exchange:
                case http_client.Reply():
                    self.prefer(target)
                    return Answered(endpoint=target, reply=exchange)
            details.append(f'{target.address}: {exchange.detail}')
            sent = sent or isinstance(exchange, http_client.NoReply)
            if sent and not request.repeatable:
                break
        return Unanswered(sent=sent, details=tuple(details))

    async def ask_one(
        self, target: endpoints.Endpoint, request: Request
    ) -> http_client.Exchange:
        """Ask one instance."""
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

    def prefer(self, answered: endpoints.Endpoint) -> None:
        """Try the instance that answered first from now on."""
        others = [one for one in self.targets if one != answered]
        self.targets = (answered, *others)
