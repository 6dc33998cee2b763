"""The routes and limits in force, from the newest configuration."""

import dataclasses

from guavaroad.domain import names


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A queue that clients submit to.

    Attributes:
        name: Its name.
        host: Host that requests name.
        prefix: Start of the paths.
        pool: Workers that run its tasks.
        urgency: 0 goes first.
        max_attempts: Failed runs of one task that fail the job.
        stretch: Run time over its ideal that is still in time.
        grace_ms: Time beyond that which is still in time.
        timeout_ms: Time that a request may take; 0 for no limit.
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
        """Return the wait that still meets the objective of a job.

        Args:
            estimate_ms: Estimated run time.

        Returns:
            Milliseconds.
        """
        return int((self.stretch - 1) * estimate_ms + self.grace_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds on requests.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body.
        header_timeout_s: Time that the head of a request may take.
        idle_timeout_s: Time that a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Its number.
        routes: Its routes.
        limits: Bounds on requests.
    """

    version: names.Version
    routes: tuple[Route, ...]
    limits: Limits


class RouteTable:
    """Finds routes by host and longest prefix."""

    def __init__(self, *, routes: tuple[Route, ...]) -> None:
        self.by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, []).append(route)
        for of_host in self.by_host.values():
            of_host.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or none."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
