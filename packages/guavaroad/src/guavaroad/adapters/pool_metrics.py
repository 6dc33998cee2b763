"""Counters and latency histograms of the worker pool."""

import types
from collections.abc import Mapping
from typing import Final

import prometheus_client

from guavaroad.domain import units

# From the shortest task to the longest client timeout.
LATENCY_BUCKETS_S: Final = (
    0.02,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    0.75,
    1,
    1.5,
    2,
    3,
    5,
)


# Time fields of decision records: name and help text of the histogram.
TIME_FIELDS: Final = types.MappingProxyType(
    {
        'waited_ms': (
            'guavaroad_queue_seconds',
            'Time that a job waited until tasks of it were placed.',
        ),
        'silent_ms': (
            'guavaroad_silence_seconds',
            'Age of what was known of who was lost, or came back.',
        ),
    }
)


class PoolMetrics:
    """Implements `decision_log.Counters` with prometheus_client.

    Attributes:
        registry: Registry of these metrics alone.
        events: Counter of decisions.
        jobs: Histogram of job latencies.
        histograms: Histograms by time field of a decision.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.events = prometheus_client.Counter(
            'guavaroad_decisions',
            'Decisions by event, the unlogged ones included.',
            ['event'],
            registry=self.registry,
        )
        self.jobs = prometheus_client.Histogram(
            'guavaroad_job_seconds',
            'Time from a submission to its answer.',
            ['outcome', 'reason'],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.histograms = {
            field: prometheus_client.Histogram(
                name,
                help_text,
                ['event'],
                buckets=LATENCY_BUCKETS_S,
                registry=self.registry,
            )
            for field, (name, help_text) in TIME_FIELDS.items()
        }

    def record_event(self, event: str, fields: Mapping[str, object]) -> None:
        """Count a decision, and observe its time fields."""
        self.events.labels(event).inc()
        for field, histogram in self.histograms.items():
            value_ms = fields.get(field)
            if isinstance(value_ms, int):
                histogram.labels(event).observe(value_ms / units.MS_PER_S)

    def record_job(self, outcome: str, reason: str, seconds: float) -> None:
        """Observe the latency of an answered job."""
        self.jobs.labels(outcome, reason).observe(seconds)

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
