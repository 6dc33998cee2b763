"""Cost of one instance over starts, queued tasks, outcomes and lists."""

import time
from concurrent import futures
from typing import Any, Final

from bench.capacity import arrivals, slopes, systems, usage

from guavaroad_standins import calls, fleet

START_RATES: Final = (50, 100, 200, 300)
QUEUED_TASKS: Final = (8500, 25_500, 51_000)
OUTCOMES: Final = (1000, 3000, 6000)
UPSTREAMS: Final = (24, 192, 768)
TEAMS: Final = (10, 60, 180)
_TASKS_PER_JOB: Final = 850
_LONG_RUN_MS: Final = 600_000
_DEADLINE_MS: Final = 86_400_000
_IDLE_S: Final = 8
_LOAD_S: Final = 8
_SETTLE_S: Final = 2
_MS_PER_S: Final = 1000
_ZONES: Final = ('zone-a',)


def starts() -> list[slopes.Series]:
    """Measure processor usage of an instance over its task starts."""
    plan = fleet.FleetPlan(zones=_ZONES, upstreams_per_zone=4, slots=16)
    points = []
    with systems.run_fleet(plan) as system:
        instance = system.instances[0]
        pid = systems.pid_of(instance)
        for rate in START_RATES:
            before = usage.read_usage(pid)
            load_result = arrivals.send(
                arrivals.Load(
                    address=instance.address,
                    starts_per_s=rate,
                    tasks_per_job=10,
                    run_ms=20,
                    seconds=_LOAD_S,
                )
            )
            after = usage.read_usage(pid)
            achieved = load_result.complete * 10 / (after.at_s - before.at_s)
            points.append(
                slopes.Point(
                    size=achieved, measured=usage.core_share(before, after)
                )
            )
    return [
        slopes.series('cpu of one instance', 'starts/s', 'cores', points),
    ]


def queued_tasks() -> list[slopes.Series]:
    """Measure memory of an instance over its queued tasks."""
    plan = fleet.FleetPlan(zones=_ZONES, upstreams_per_zone=1, slots=1)
    points = []
    with systems.run_fleet(plan) as system:
        instance = system.instances[0]
        pool = futures.ThreadPoolExecutor(max(QUEUED_TASKS) // _TASKS_PER_JOB)
        sent = 0
        for target in QUEUED_TASKS:
            while sent < target:
                pool.submit(_submit_long, instance.address)
                sent += _TASKS_PER_JOB
            time.sleep(_SETTLE_S)
            reading = usage.read_usage(systems.pid_of(instance))
            points.append(
                slopes.Point(size=sent, measured=reading.rss_bytes / usage.MIB)
            )
    pool.shutdown(wait=False, cancel_futures=True)
    return [
        slopes.series('memory of one instance', 'queued tasks', 'MiB', points)
    ]


def kept_outcomes() -> list[slopes.Series]:
    """Measure memory of an instance over the outcomes that it caches."""
    plan = fleet.FleetPlan(zones=_ZONES, upstreams_per_zone=2, slots=32)
    points = []
    with systems.run_fleet(plan) as system:
        instance = system.instances[0]
        completed = 0
        for target in OUTCOMES:
            load_result = arrivals.send(
                arrivals.Load(
                    address=instance.address,
                    starts_per_s=250,
                    tasks_per_job=1,
                    run_ms=0,
                    seconds=(target - completed) / 250,
                )
            )
            completed += load_result.complete
            reading = usage.read_usage(systems.pid_of(instance))
            points.append(
                slopes.Point(
                    size=completed, measured=reading.rss_bytes / usage.MIB
                )
            )
    return [
        slopes.series('memory of one instance', 'kept outcomes', 'MiB', points)
    ]


def upstreams() -> list[slopes.Series]:
    """Measure idle usage of an instance over the listed upstreams."""
    plan = fleet.FleetPlan(zones=_ZONES, upstreams_per_zone=1)
    cores, memory = [], []
    with systems.run_fleet(plan) as system:
        pid = systems.pid_of(system.instances[0])
        for count in UPSTREAMS:
            _publish_upstreams(system, count)
            time.sleep(_SETTLE_S * 2)
            cores.append(
                slopes.point(count, usage.core_share_over(pid, _IDLE_S))
            )
            reading = usage.read_usage(pid)
            memory.append(slopes.point(count, reading.rss_bytes / usage.MIB))
    return [
        slopes.series('idle cpu of one instance', 'upstreams', 'cores', cores),
        slopes.series(
            'idle memory of one instance', 'upstreams', 'MiB', memory
        ),
    ]


def teams() -> list[slopes.Series]:
    """Measure memory and patch time over the teams of the configuration."""
    plan = fleet.FleetPlan(zones=_ZONES, upstreams_per_zone=1)
    memory, latencies = [], []
    with systems.run_fleet(plan) as system:
        pid = systems.pid_of(system.instances[0])
        for version, count in enumerate(TEAMS, 1):
            started_s = time.monotonic()
            systems.patch(system, version, _team_document(count))
            latency_ms = (time.monotonic() - started_s) * _MS_PER_S
            latencies.append(slopes.point(count, latency_ms))
            reading = usage.read_usage(pid)
            memory.append(slopes.point(count, reading.rss_bytes / usage.MIB))
    return [
        slopes.series('memory of one instance', 'teams', 'MiB', memory),
        slopes.series('latency of one patch', 'teams', 'ms', latencies),
    ]


def _submit_long(address: str) -> None:
    try:
        systems.submit(address, _TASKS_PER_JOB, _LONG_RUN_MS, _DEADLINE_MS)
    except OSError:
        # Expected: the fleet stops while the job is still queued.
        return


def _publish_upstreams(system: fleet.Fleet, count: int) -> None:
    address = system.upstreams[0].address
    listed = [_upstream_entry(address, number) for number in range(count)]
    calls.call(
        'PUT',
        system.platform_address,
        '/admin/instances',
        body={'entries': _instance_entries(system), 'upstreams': listed},
    )


def _instance_entries(system: fleet.Fleet) -> list[dict[str, Any]]:
    return [
        {
            'availability_zone': instance.zone,
            'address': instance.address,
            'peer_address': instance.peer_address,
        }
        for instance in system.instances
    ]


def _team_document(count: int) -> dict[str, Any]:
    names = [f'team-{number}' for number in range(count)]
    return {
        'teams': {name: {} for name in names},
        'jobs': {f'{name}-job': {'teams': [name]} for name in names},
    }


def _upstream_entry(address: str, number: int) -> dict[str, Any]:
    return {
        'name': f'listed-{number}',
        'availability_zone': _ZONES[0],
        'pool': 'main',
        'address': address,
        'slots': 8,
    }
