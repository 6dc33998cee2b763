"""An open-loop client: requests are sent at predetermined times."""

import dataclasses
import io
from typing import Any, Final

from hdrh import histogram
from twisted.internet import defer, task
from twisted.web import client, http, http_headers

LOWEST_US: Final = 1
HIGHEST_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3
US_PER_S: Final = 1_000_000
_MAX_CONNECTIONS: Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """The request that is sent repeatedly.

    Attributes:
        url: URL.
        headers: Header values by name.
        body: Body.
    """

    url: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """Result of a load.

    Attributes:
        latency_us: Histogram of the time from the scheduled sending to the
            complete response, microseconds.
        sent: Number of requests sent.
        succeeded: Number of requests answered with 200.
        elapsed_s: From the first scheduled sending to the last response.
    """

    latency_us: Any = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
    )
    sent: int = 0
    succeeded: int = 0
    elapsed_s: float = 0

    def quantile_ms(self, percent: float) -> float:
        """Return a quantile of the latency in milliseconds."""
        return float(self.latency_us.get_value_at_percentile(percent)) / 1000


class OpenLoop:
    """Sends requests on pooled connections of one reactor."""

    def __init__(self, *, reactor: Any) -> None:
        self.reactor = reactor
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = _MAX_CONNECTIONS
        pool.retryAutomatically = False
        self.agent = client.Agent(reactor, pool=pool)

    async def run(
        self, target: Target, rate_per_s: float, seconds: float
    ) -> Outcome:
        """Send at a constant rate and wait for every response.

        Args:
            target: The request.
            rate_per_s: Requests per second.
            seconds: How long requests are sent.

        Returns:
            The result of the load.
        """
        outcome = Outcome()
        started_s = self.reactor.seconds()
        pending = []
        for number in range(round(rate_per_s * seconds)):
            due_s = started_s + number / rate_per_s
            delay_s = due_s - self.reactor.seconds()
            if delay_s > 0:
                await task.deferLater(self.reactor, delay_s, str)
            sending = self.send(target, due_s, outcome)
            pending.append(defer.ensureDeferred(sending))
        await defer.DeferredList(pending, consumeErrors=True)
        outcome.elapsed_s = self.reactor.seconds() - started_s
        return outcome

    async def send(
        self, target: Target, due_s: float, outcome: Outcome
    ) -> None:
        """Send one request and record its latency."""
        outcome.sent += 1
        headers = http_headers.Headers(
            {name: [text] for name, text in target.headers.items()}
        )
        response = await self.agent.request(
            b'POST',
            target.url.encode(),
            headers,
            client.FileBodyProducer(io.BytesIO(target.body)),
        )
        await client.readBody(response)
        latency_us = round((self.reactor.seconds() - due_s) * US_PER_S)
        outcome.latency_us.record_value(max(LOWEST_US, latency_us))
        outcome.succeeded += response.code == http.OK
