"""Metrics of an entry instance, implemented with `prometheus_client`."""

from collections.abc import Callable
from typing import Final

import prometheus_client

_PREFIX: Final = 'guavaroad'
_TASK_BUCKETS_S: Final = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
)  # fmt: skip
_CALL_BUCKETS_S: Final = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.5, 1, 5)


class PrometheusMetrics:
    """Counters and histograms of one application.

    Attributes:
        registry: Registry of this application, so that several can share a
            process.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self.counter(
            'requests', 'Answered requests by result code.', 'code'
        )
        self.queued = self.counter('tasks_queued', 'Tasks taken.')
        self.started = self.counter(
            'attempts_started', 'Tasks handed to an upstream.'
        )
        self.ended = self.counter(
            'attempts_ended', 'Attempts that ended, by outcome.', 'outcome'
        )
        self.answers = self.histogram(
            'answer', 'From a whole request to its answer.', _TASK_BUCKETS_S
        )
        self.attempts = self.histogram(
            'attempt', 'From a hand-over to its outcome.', _TASK_BUCKETS_S
        )
        self.calls = self.histogram(
            'platform_call',
            'Calls of the platform, by outcome.',
            _CALL_BUCKETS_S,
            'outcome',
        )
        self.lag = self.histogram(
            'event_loop_lag', 'Delay of the loop.', _CALL_BUCKETS_S
        )
        prometheus_client.ProcessCollector(registry=self.registry)
        prometheus_client.PlatformCollector(registry=self.registry)
        prometheus_client.GCCollector(registry=self.registry)

    def counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        """Return a counter `guavaroad_<name>_total`."""
        return prometheus_client.Counter(
            f'{_PREFIX}_{name}', text, labels, registry=self.registry
        )

    def histogram(
        self, name: str, text: str, bounds: tuple[float, ...], *labels: str
    ) -> prometheus_client.Histogram:
        """Return a histogram `guavaroad_<name>_seconds`."""
        return prometheus_client.Histogram(
            f'{_PREFIX}_{name}_seconds',
            text,
            labels,
            registry=self.registry,
            buckets=bounds,
        )

    def watch(self, name: str, text: str, count: Callable[[], int]) -> None:
        """Add a gauge whose value is computed when the metrics are read.

        Args:
            name: Name without the prefix.
            text: Help text.
            count: Returns the current value.
        """
        gauge = prometheus_client.Gauge(
            f'{_PREFIX}_{name}', text, registry=self.registry
        )
        gauge.set_function(count)

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def request_answered(self, code: int, seconds: float) -> None:
        """Record an answered request."""
        self.requests.labels(str(code)).inc()
        self.answers.observe(seconds)

    def tasks_queued(self, count: int) -> None:
        """Count queued tasks."""
        self.queued.inc(count)

    def attempt_started(self) -> None:
        """Count a started attempt."""
        self.started.inc()

    def attempt_ended(self, outcome: str, seconds: float) -> None:
        """Record the end of an attempt."""
        self.ended.labels(outcome).inc()
        self.attempts.observe(seconds)

    def platform_called(self, outcome: str, seconds: float) -> None:
        """Record a call of the platform."""
        self.calls.labels(outcome).observe(seconds)

    def loop_lagged(self, seconds: float) -> None:
        """Record a sample of the scheduling delay of the event loop."""
        self.lag.observe(seconds)
