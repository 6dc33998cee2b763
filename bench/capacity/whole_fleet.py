"""Cost over the number of instances: idle usage and patches."""

import statistics
import time
from typing import Final

from bench.capacity import slopes, systems, usage

from guavaroad_standins import calls, fleet

INSTANCES: Final = (3, 9, 18)
IDLE_SERIES: Final = (
    ('idle cpu of one instance', 'cores'),
    ('idle memory of one instance', 'MiB'),
    ('platform calls of all instances', 'calls/s'),
    ('control bytes sent by one instance', 'bytes/s'),
    ('control messages sent by one instance', 'messages/s'),
)
_PATCH_COUNT: Final = 30
_IDLE_S: Final = 8
_SETTLE_S: Final = 2
_MS_PER_S: Final = 1000
_ZONES: Final = ('zone-a', 'zone-b', 'zone-c')


def peers() -> list[slopes.Series]:
    """Measure idle usage of an instance over the number of instances."""
    readings = [_measure_idle(count) for count in INSTANCES]
    return [
        slopes.series(name, 'instances', unit, list(points))
        for (name, unit), points in zip(
            IDLE_SERIES, zip(*readings, strict=True), strict=True
        )
    ]


def _measure_idle(count: int) -> tuple[slopes.Point, ...]:
    plan = fleet.FleetPlan(
        zones=_ZONES,
        instances_per_zone=count // len(_ZONES),
        upstreams_per_zone=1,
    )
    with systems.run_fleet(plan) as system:
        time.sleep(_SETTLE_S)
        pid = systems.pid_of(system.instances[0])
        call_count = _platform_calls(system)
        before = _bus_counters(system)
        share = usage.core_share_over(pid, _IDLE_S)
        call_count = _platform_calls(system) - call_count
        after = _bus_counters(system)
        measured = (
            share,
            usage.read_usage(pid).rss_bytes / usage.MIB,
            call_count / _IDLE_S,
            (after['bytes_sent'] - before['bytes_sent']) / _IDLE_S,
            (after['messages_sent'] - before['messages_sent']) / _IDLE_S,
        )
    return tuple(slopes.point(count, number) for number in measured)


def patches() -> list[slopes.Series]:
    """Measure how long patches take to be in force on every instance."""
    medians, cpu_ms = [], []
    for count in INSTANCES:
        plan = fleet.FleetPlan(
            zones=_ZONES,
            instances_per_zone=count // 3,
            upstreams_per_zone=1,
        )
        with systems.run_fleet(plan) as system:
            pid = systems.pid_of(system.instances[0])
            before = usage.read_usage(pid)
            latencies_ms = [
                _time_patch(system, number + 1)
                for number in range(_PATCH_COUNT)
            ]
            after = usage.read_usage(pid)
            medians.append(slopes.point(count, statistics.median(latencies_ms)))
            cpu_s_per_patch = (after.cpu_s - before.cpu_s) / _PATCH_COUNT
            cpu_ms.append(slopes.point(count, cpu_s_per_patch * _MS_PER_S))
    return [
        slopes.series('median time until in force', 'instances', 'ms', medians),
        slopes.series(
            'cpu of the patched instance per patch', 'instances', 'ms', cpu_ms
        ),
    ]


def _platform_calls(system: fleet.Fleet) -> int:
    reply = calls.call('GET', system.platform_address, '/admin/counters')
    counters = reply.decoded()
    return int(counters['reads'] + counters['list_reads'])


def _bus_counters(system: fleet.Fleet) -> dict[str, int]:
    reply = calls.call(
        'GET',
        system.instances[0].address,
        '/v1/state',
        headers=systems.bearer(fleet.OPERATOR_TOKEN),
    )
    counters: dict[str, int] = reply.decoded()['peers']['counters']
    return counters


def _time_patch(system: fleet.Fleet, base: int) -> float:
    started_s = time.monotonic()
    change = {'teams': {f'team-{base}': {}}}
    systems.patch(system, base, change)
    systems.wait_version(system, base + 1)
    return (time.monotonic() - started_s) * _MS_PER_S
