"""An open-loop client: requests leave at times fixed beforehand."""

import dataclasses
import io
from typing import Any, Final

from hdrh import histogram
from twisted.internet import defer, task
from twisted.web import client, http, http_headers

LOWEST_US: Final = 1
HIGHEST_US: Final = 60_000_000
DIGITS: Final = 3
US: Final = 1_000_000
_CONNECTIONS: Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One request that is sent again and again.

    Attributes:
        url: Whole URL.
        headers: Header values by name.
        body: Body.
    """

    url: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What came of a load.

    Attributes:
        latency_us: From the time due to the whole answer, microseconds.
        sent: Requests sent.
        whole: Requests answered with 200.
        elapsed_s: From the first time due to the last answer.
    """

    latency_us: Any = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, DIGITS
        )
    )
    sent: int = 0
    whole: int = 0
    elapsed_s: float = 0

    def quantile_ms(self, percent: float) -> float:
        """Return a quantile of the latency in milliseconds."""
        return float(self.latency_us.get_value_at_percentile(percent)) / 1000


class OpenLoop:
    """Sends requests on pooled connections of one loop."""

    def __init__(self, *, reactor: Any) -> None:
        self.reactor = reactor
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = _CONNECTIONS
        pool.retryAutomatically = False
        self.agent = client.Agent(reactor, pool=pool)

    async def run(
        self, target: Target, rate_per_s: float, seconds: float
    ) -> Outcome:
        """Send at a steady rate and wait for every answer.

        Args:
            target: The request.
            rate_per_s: Requests a second.
            seconds: Length of the sending.

        Returns:
            What came of it.
        """
        outcome = Outcome()
        began_s = self.reactor.seconds()
        pending = []
        for number in range(round(rate_per_s * seconds)):
            due_s = began_s + number / rate_per_s
            late_s = due_s - self.reactor.seconds()
            if late_s > 0:
                await task.deferLater(self.reactor, late_s, str)
            one = self.send(target, due_s, outcome)
            pending.append(defer.ensureDeferred(one))
        await defer.DeferredList(pending, consumeErrors=True)
        outcome.elapsed_s = self.reactor.seconds() - began_s
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
        took_us = round((self.reactor.seconds() - due_s) * US)
        outcome.latency_us.record_value(max(LOWEST_US, took_us))
        outcome.whole += response.code == http.OK
