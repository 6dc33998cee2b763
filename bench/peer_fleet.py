"""Fleets of real processes for the membership and patch benchmarks."""

import pathlib
from typing import Any, Final

from absl import flags

from guavaroad_standins import calls, fleet, processes

_ZONES = flags.DEFINE_integer('zones', 3, 'Availability zones.')
_CLOCK_TICKS_PER_S: Final = 100
_PAGE_KB: Final = 4
OPERATOR_TOKEN: Final = fleet.OPERATOR_TOKEN


def operator_headers() -> dict[str, str]:
    """Return the authorization header of an operator."""
    return {'Authorization': f'Bearer {OPERATOR_TOKEN}'}


def start_fleet(per_zone: int) -> fleet.Fleet:
    """Return a running fleet in which every instance sees all others alive."""
    zones = tuple(f'zone-{number}' for number in range(_ZONES.value))
    system = fleet.Fleet(
        plan=fleet.FleetPlan(
            zones=zones, instances_per_zone=per_zone, upstreams_per_zone=1
        )
    )
    system.start()
    count = len(system.instances) - 1
    for instance in system.instances:
        wait_alive(instance, count)
    return system


def wait_alive(instance: fleet.EntryInstance, count: int) -> None:
    """Wait until an instance sees a number of peers alive."""
    processes.wait_until(
        lambda: alive_peers(instance) == count, 'all peers alive', 30
    )


def state_of(instance: fleet.EntryInstance) -> Any:
    """Return the state dump of an instance."""
    return calls.call(
        'GET', instance.address, '/v1/state', headers=operator_headers()
    ).decoded()


def alive_peers(instance: fleet.EntryInstance) -> int:
    """Return the number of peers that an instance sees alive."""
    peers = state_of(instance)['membership']['peers']
    return sum(peer['state'] == 'alive' for peer in peers)


def usage(instance: fleet.EntryInstance) -> tuple[float, int]:
    """Return processor seconds and resident memory in KiB of an instance."""
    process = instance.process
    if process is None:
        return 0, 0
    folder = pathlib.Path('/proc') / str(process.child.pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / 'statm').read_text().split()[1])
    return ticks / _CLOCK_TICKS_PER_S, pages * _PAGE_KB
