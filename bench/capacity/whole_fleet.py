"""Slopes over the number of instances: idle cost and patches."""

import statistics
import time
from typing import Final

from bench.capacity import slopes, systems, usage

from guavaroad_standins import calls, fleet

INSTANCES: Final = (3, 9, 18)
IDLE_SERIES: Final = (
    ('idle cpu of one instance', 'cores'),
    ('idle memory of one instance', 'MiB'),
    ('platform calls of all', 'calls/s'),
    ('control bytes sent by one', 'bytes/s'),
    ('control messages sent by one', 'messages/s'),
)
_PATCHES: Final = 30
_IDLE_S: Final = 8
_SETTLE_S: Final = 2
_MS: Final = 1000
_ZONES: Final = ('zone-a', 'zone-b', 'zone-c')


def peers() -> list[slopes.Series]:
    """Measure idle cost of an instance over the number of instances."""
    readings = [_idle_reading(count) for count in INSTANCES]
    return [
        slopes.series(name, 'instances', unit, list(points))
        for (name, unit), points in zip(
            IDLE_SERIES, zip(*readings, strict=True), strict=True
        )
    ]


def _idle_reading(count: int) -> tuple[slopes.Point, ...]:
    plan = fleet.FleetPlan(
        zones=_ZONES,
        instances_per_zone=count // len(_ZONES),
        upstreams_per_zone=1,
    )
    with systems.running(plan) as system:
        time.sleep(_SETTLE_S)
        pid = systems.pid_of(system.instances[0])
        asked = _platform_calls(system)
        sent = _bus_counters(system)
        share = usage.core_share_over(pid, _IDLE_S)
        asked = _platform_calls(system) - asked
        now = _bus_counters(system)
        measured = (
            share,
            usage.read_usage(pid).rss_bytes / usage.MIB,
            asked / _IDLE_S,
            (now['bytes_sent'] - sent['bytes_sent']) / _IDLE_S,
            (now['messages_sent'] - sent['messages_sent']) / _IDLE_S,
        )
    return tuple(slopes.point(count, one) for one in measured)


def patches() -> list[slopes.Series]:
    """Measure how long patches take to be in force on every instance."""
    medians, cores = [], []
    for count in INSTANCES:
        plan = fleet.FleetPlan(
            zones=_ZONES,
            instances_per_zone=count // 3,
            upstreams_per_zone=1,
        )
        with systems.running(plan) as system:
            pid = systems.pid_of(system.instances[0])
            before = usage.read_usage(pid)
            taken = [
                _time_patch(system, number + 1) for number in range(_PATCHES)
            ]
            after = usage.read_usage(pid)
            medians.append(slopes.point(count, statistics.median(taken)))
            per_patch = (after.cpu_s - before.cpu_s) / _PATCHES
            cores.append(slopes.point(count, per_patch * _MS))
    return [
        slopes.series('median time to in force', 'instances', 'ms', medians),
        slopes.series('cpu of the driver a patch', 'instances', 'ms', cores),
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
    began = time.monotonic()
    change = {'teams': {f'team-{base}': {}}}
    systems.patch(system, base, change)
    systems.wait_version(system, base + 1)
    return (time.monotonic() - began) * _MS
