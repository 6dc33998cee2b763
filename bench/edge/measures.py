"""What the bench measures, each as a row of cells."""

import dataclasses
import time
from typing import Final

from bench.capacity import systems, usage
from bench.edge import open_loop, system
from twisted.internet import defer

from guavaroad_standins import fleet

LATENCY_RATE_PER_S: Final = 50
LATENCY_S: Final = 6
TASKS_PER_JOB: Final = 10
START_RATES_PER_S: Final = (200, 400, 600, 800, 1000, 1200)
START_S: Final = 4
KEPT_UP: Final = 0.95
IDLE_S: Final = 8
MEDIAN: Final = 50
TAIL: Final = 99
MS: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Figures of one run.

    Attributes:
        start_up_s: From the start of the process to ready.
        idle_cores: Part of a core used while idle.
        rss_mib: Resident memory while idle.
        direct_p50_ms: Median of a call to an upstream.
        direct_p99_ms: 99th percentile of a call to an upstream.
        path_p50_ms: Median of a job of one task through the instance.
        path_p99_ms: 99th percentile of the same.
        starts_per_s: Most starts a second that were kept up.
        start_cpu_ms: Processor time of one start at that rate.
    """

    start_up_s: float
    idle_cores: float
    rss_mib: float
    direct_p50_ms: float
    direct_p99_ms: float
    path_p50_ms: float
    path_p99_ms: float
    starts_per_s: float
    start_cpu_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rate:
    """A rate of starts and what it cost."""

    starts_per_s: float
    cpu_ms: float
    kept_up: bool


def start_up(running: fleet.Fleet) -> float:
    """Start the fleet and return the seconds of its instance."""
    running.start_platform()
    running.publish_list()
    running.start_upstreams('zone-a')
    began_s = time.monotonic()
    running.start_instance(running.instances[0])
    running.wait_ready(running.instances[0])
    return time.monotonic() - began_s


def idle(running: fleet.Fleet) -> tuple[float, float]:
    """Return the part of a core and the MiB that idling takes."""
    pid = systems.pid_of(running.instances[0])
    cores = usage.core_share_over(pid, IDLE_S)
    return cores, usage.read_usage(pid).rss_bytes / usage.MIB


async def starts_at(
    loop: open_loop.OpenLoop, running: fleet.Fleet, rate_per_s: float
) -> Rate:
    """Send jobs at a rate of starts."""
    pid = systems.pid_of(running.instances[0])
    target = system.through(running, TASKS_PER_JOB)
    before = usage.read_usage(pid)
    outcome = await loop.run(target, rate_per_s / TASKS_PER_JOB, START_S)
    after = usage.read_usage(pid)
    achieved = outcome.whole * TASKS_PER_JOB / outcome.elapsed_s
    started = max(1, outcome.whole * TASKS_PER_JOB)
    return Rate(
        starts_per_s=achieved,
        cpu_ms=(after.cpu_s - before.cpu_s) * MS / started,
        kept_up=achieved >= rate_per_s * KEPT_UP,
    )


async def most_starts(loop: open_loop.OpenLoop, running: fleet.Fleet) -> Rate:
    """Return the highest rate of the list that was kept up."""
    best = await starts_at(loop, running, START_RATES_PER_S[0])
    for rate_per_s in START_RATES_PER_S[1:]:
        tried = await starts_at(loop, running, rate_per_s)
        if not tried.kept_up:
            return max(best, tried, key=lambda one: one.starts_per_s)
        best = tried
    return best


async def measure(loop: open_loop.OpenLoop, running: fleet.Fleet) -> Figures:
    """Measure a fleet that is not started yet."""
    start_up_s = start_up(running)
    idle_cores, rss_mib = idle(running)
    system.configure(running)
    # Both at the same time, so that a busy machine weighs on both.
    direct, path = await defer.gatherResults(
        defer.ensureDeferred(loop.run(target, LATENCY_RATE_PER_S, LATENCY_S))
        for target in (system.direct(running), system.through(running, 1))
    )
    best = await most_starts(loop, running)
    return Figures(
        start_up_s=start_up_s,
        idle_cores=idle_cores,
        rss_mib=rss_mib,
        direct_p50_ms=direct.quantile_ms(MEDIAN),
        direct_p99_ms=direct.quantile_ms(TAIL),
        path_p50_ms=path.quantile_ms(MEDIAN),
        path_p99_ms=path.quantile_ms(TAIL),
        starts_per_s=best.starts_per_s,
        start_cpu_ms=best.cpu_ms,
    )
