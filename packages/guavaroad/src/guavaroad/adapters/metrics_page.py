"""Serves the metrics page of a process of the worker pool."""

from http import HTTPStatus

from twisted.internet import error

from guavaroad.adapters import http_listener, listening_ports, pool_metrics
from guavaroad.services.pool import decision_log


class MetricsPage:
    """The metrics page of a process.

    Attributes:
        metrics: Metrics of the process.
        decision_log: Log of the process.
    """

    def __init__(
        self,
        *,
        metrics: pool_metrics.PoolMetrics,
        log: decision_log.DecisionLog,
    ) -> None:
        self.metrics = metrics
        self.decision_log = log

    def listen(
        self, ports: listening_ports.ListeningPorts, address: str
    ) -> None:
        """Serve the page, unless its port is in use.

        A failure is logged only, as jobs can be served without metrics.

        Args:
            ports: Ports of the process.
            address: `ip:port` of the page.
        """
        try:
            ports.listen(address, ports.make_http_listener(self.serve))
        except error.CannotListenError as failure:
            self.decision_log.log_event(
                'metrics_unserved', address=address, detail=str(failure)
            )

    def serve(self, request: http_listener.Request) -> None:
        """Answer a request for the page."""
        request.answer(
            http_listener.Answer(status=HTTPStatus.OK, body=self.metrics.page())
        )
