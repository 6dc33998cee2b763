"""Wrappers of ports that record metrics of their calls."""

from typing import Final, Protocol

from twisted.internet import defer

from guavaroad.adapters import http_client
from guavaroad.domain import attempts
from guavaroad.ports import metrics, timers, upstreams

LAG_PERIOD_S: Final = 1


class Exchanger(Protocol):
    """Sends HTTP requests."""

    async def exchange(self, call: http_client.Call) -> http_client.Exchange:
        """Send a request and wait for the complete response."""


class MeteredExchanger:
    """Records the calls of the platform."""

    def __init__(
        self,
        *,
        inner: Exchanger,
        sink: metrics.MetricsPort,
        timer_service: timers.TimerService,
    ) -> None:
        self.inner = inner
        self.sink = sink
        self.timers = timer_service

    async def exchange(self, call: http_client.Call) -> http_client.Exchange:
        """Send a request and record its outcome and duration."""
        started_s = self.timers.now()
        exchange = await self.inner.exchange(call)
        self.sink.platform_called(
            type(exchange).__name__, self.timers.now() - started_s
        )
        return exchange


class MeteredUpstreams:
    """Records the attempts at upstreams."""

    def __init__(
        self,
        *,
        inner: upstreams.UpstreamPort,
        sink: metrics.MetricsPort,
        timer_service: timers.TimerService,
    ) -> None:
        self.inner = inner
        self.sink = sink
        self.timers = timer_service

    def start(
        self, upstream: upstreams.Upstream, attempt: upstreams.Attempt
    ) -> 'defer.Deferred[attempts.AttemptOutcome]':
        """Start an attempt and record its outcome and duration."""
        self.sink.attempt_started()
        pending = self.inner.start(upstream, attempt)
        return pending.addCallback(self.on_ended, self.timers.now())

    def on_ended(
        self, outcome: attempts.AttemptOutcome, started_s: float
    ) -> attempts.AttemptOutcome:
        """Record the end of an attempt."""
        self.sink.attempt_ended(
            type(outcome).__name__, self.timers.now() - started_s
        )
        return outcome


class LoopLagSampler:
    """Samples the scheduling delay of the event loop."""

    def __init__(
        self,
        *,
        sink: metrics.MetricsPort,
        timer_service: timers.TimerService,
    ) -> None:
        self.sink = sink
        self.timers = timer_service
        self.expected_s = timer_service.now()

    def sample(self) -> None:
        """Record a sample and schedule the next."""
        now_s = self.timers.now()
        self.sink.loop_lagged(max(0, now_s - self.expected_s))
        self.expected_s = now_s + LAG_PERIOD_S
        self.timers.call_after(LAG_PERIOD_S, self.sample)
