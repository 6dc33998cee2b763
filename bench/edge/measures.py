"""Measurements of the benchmark of one entry instance."""

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
# Share of the offered rate that must be achieved.
MIN_ACHIEVED_SHARE: Final = 0.95
IDLE_S: Final = 8
MEDIAN_PERCENT: Final = 50
TAIL_PERCENT: Final = 99
MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Figures of one run.

    Attributes:
        start_up_s: Time from the start of the process until it is ready.
        idle_cores: Share of a core used while idle.
        rss_mib: Resident memory while idle.
        direct_p50_ms: Median latency of a direct call to an upstream.
        direct_p99_ms: 99th percentile of that latency.
        job_p50_ms: Median latency of a job of one task through the instance.
        job_p99_ms: 99th percentile of that latency.
        starts_per_s: Highest sustained rate of task starts.
        start_cpu_ms: Processor time per start at that rate.
    """

    start_up_s: float
    idle_cores: float
    rss_mib: float
    direct_p50_ms: float
    direct_p99_ms: float
    job_p50_ms: float
    job_p99_ms: float
    starts_per_s: float
    start_cpu_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateResult:
    """Result of sending at one rate of task starts.

    Attributes:
        starts_per_s: Achieved rate.
        cpu_ms: Processor time per start.
        is_sustained: Whether the offered rate was achieved.
    """

    starts_per_s: float
    cpu_ms: float
    is_sustained: bool


def measure_start_up(running: fleet.Fleet) -> float:
    """Start the fleet; return how long its instance took, in seconds."""
    running.start_platform()
    running.publish_list()
    running.start_upstreams('zone-a')
    started_s = time.monotonic()
    running.start_instance(running.instances[0])
    running.wait_ready(running.instances[0])
    return time.monotonic() - started_s


def measure_idle(running: fleet.Fleet) -> tuple[float, float]:
    """Return the share of a core and the memory in MiB used while idle."""
    pid = systems.pid_of(running.instances[0])
    cores = usage.core_share_over(pid, IDLE_S)
    return cores, usage.read_usage(pid).rss_bytes / usage.MIB


async def measure_rate(
    loop: open_loop.OpenLoop, running: fleet.Fleet, rate_per_s: float
) -> RateResult:
    """Send jobs at a rate of task starts; return what was achieved."""
    pid = systems.pid_of(running.instances[0])
    target = system.job_target(running, TASKS_PER_JOB)
    before = usage.read_usage(pid)
    outcome = await loop.run(target, rate_per_s / TASKS_PER_JOB, START_S)
    after = usage.read_usage(pid)
    achieved = outcome.succeeded * TASKS_PER_JOB / outcome.elapsed_s
    started = max(1, outcome.succeeded * TASKS_PER_JOB)
    return RateResult(
        starts_per_s=achieved,
        cpu_ms=(after.cpu_s - before.cpu_s) * MS_PER_S / started,
        is_sustained=achieved >= rate_per_s * MIN_ACHIEVED_SHARE,
    )


async def highest_rate(
    loop: open_loop.OpenLoop, running: fleet.Fleet
) -> RateResult:
    """Return the highest rate of the list that was sustained."""
    best = await measure_rate(loop, running, START_RATES_PER_S[0])
    for rate_per_s in START_RATES_PER_S[1:]:
        latest = await measure_rate(loop, running, rate_per_s)
        if not latest.is_sustained:
            return max(best, latest, key=lambda rate: rate.starts_per_s)
        best = latest
    return best


async def measure(loop: open_loop.OpenLoop, running: fleet.Fleet) -> Figures:
    """Start a fleet and take all measurements."""
    start_up_s = measure_start_up(running)
    idle_cores, rss_mib = measure_idle(running)
    system.configure(running)
    # Both run at the same time, so that other load affects both alike.
    direct, jobs = await defer.gatherResults(
        defer.ensureDeferred(loop.run(target, LATENCY_RATE_PER_S, LATENCY_S))
        for target in (
            system.direct_target(running),
            system.job_target(running, 1),
        )
    )
    best = await highest_rate(loop, running)
    return Figures(
        start_up_s=start_up_s,
        idle_cores=idle_cores,
        rss_mib=rss_mib,
        direct_p50_ms=direct.quantile_ms(MEDIAN_PERCENT),
        direct_p99_ms=direct.quantile_ms(TAIL_PERCENT),
        job_p50_ms=jobs.quantile_ms(MEDIAN_PERCENT),
        job_p99_ms=jobs.quantile_ms(TAIL_PERCENT),
        starts_per_s=best.starts_per_s,
        start_cpu_ms=best.cpu_ms,
    )
