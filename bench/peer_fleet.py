"""Fleets of real processes that know one another, for the runs here."""

import pathlib
from typing import Any, Final

from absl import flags

from guavaroad_standins import calls, fleet, processes

_ZONES = flags.DEFINE_integer('zones', 3, 'Availability zones.')
_CLOCK_TICKS: Final = 100
_PAGE_KB: Final = 4
OPERATOR: Final = fleet.OPERATOR_TOKEN


def operator() -> dict[str, str]:
    """Return the header of an operator."""
    return {'Authorization': f'Bearer {OPERATOR}'}


def started(per_zone: int) -> fleet.Fleet:
    """Return a running fleet whose instances know one another."""
    zones = tuple(f'zone-{number}' for number in range(_ZONES.value))
    made = fleet.Fleet(
        plan=fleet.FleetPlan(
            zones=zones, instances_per_zone=per_zone, upstreams_per_zone=1
        )
    )
    made.start()
    count = len(made.instances) - 1
    for instance in made.instances:
        wait_alive(instance, count)
    return made


def wait_alive(instance: fleet.EntryInstance, count: int) -> None:
    """Wait until an instance sees all the others."""
    processes.wait_until(
        lambda: alive_peers(instance) == count, 'the fleet is whole', 30
    )


def dump(instance: fleet.EntryInstance) -> Any:
    """Return the state dump of an instance."""
    return calls.call(
        'GET', instance.address, '/v1/state', headers=operator()
    ).decoded()


def alive_peers(instance: fleet.EntryInstance) -> int:
    """Return how many peers an instance sees alive."""
    peers = dump(instance)['membership']['peers']
    return sum(peer['state'] == 'alive' for peer in peers)


def usage(instance: fleet.EntryInstance) -> tuple[float, int]:
    """Return processor seconds and resident kilobytes of an instance."""
    process = instance.process
    if process is None:
        return 0, 0
    folder = pathlib.Path('/proc') / str(process.child.pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / 'statm').read_text().split()[1])
    return ticks / _CLOCK_TICKS, pages * _PAGE_KB
