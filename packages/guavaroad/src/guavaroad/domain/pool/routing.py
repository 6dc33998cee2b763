"""Routes and request limits of a configuration."""

import dataclasses

from guavaroad.domain import names


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A queue that clients submit to.

    Attributes:
        name: Name of the queue.
        host: Host that requests are addressed to.
        prefix: Prefix of the request paths.
        pool: Pool whose workers run its tasks.
        urgency: Urgency; 0 is the most urgent.
        max_attempts: Number of failed runs of one task that fails the job.
        stretch: Multiple of the estimated run time within which a job meets
            its latency objective.
        grace_ms: Time that is added to that limit, in milliseconds.
        timeout_ms: Timeout of a request, in milliseconds; 0 for none.
    """

    name: str
    host: str
    prefix: str
    pool: names.PoolName
    urgency: int
    max_attempts: int
    stretch: float
    grace_ms: float
    timeout_ms: int

    def objective_ms(self, estimate_ms: float) -> int:
        """Return the longest wait that meets the latency objective of a job.

        Args:
            estimate_ms: Estimated run time, in milliseconds.

        Returns:
            The wait, in milliseconds.
        """
        return int((self.stretch - 1) * estimate_ms + self.grace_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on requests and connections.

    Attributes:
        header_bytes: Maximum size of a request's headers.
        body_bytes: Maximum size of a request's body.
        header_timeout_s: Timeout for reading the headers, in seconds.
        idle_timeout_s: Timeout for an idle connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Version number.
        routes: Routes for requests.
        limits: Limits on requests and connections.
    """

    version: names.Version
    routes: tuple[Route, ...]
    limits: Limits


class RouteTable:
    """Index of routes by host and longest path prefix."""

    def __init__(self, *, routes: tuple[Route, ...]) -> None:
        self.by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, []).append(route)
        for host_routes in self.by_host.values():
            host_routes.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
