"""Compares ways to divide slots: `python -m bench.slots [ways|floods]`.

Prints a table and writes the raw rows to `build/slots-*.json`.
"""

import dataclasses
import itertools
import pathlib
import sys
from typing import Any, Final

import msgspec
from bench.slots import plans, runs, tables

BUILD: Final = pathlib.Path('build')
SECONDS: Final = 4.5
FLOOD_SECONDS: Final = 6
LOADS: Final = (0.3, 0.6, 0.85)
HIGH_LOAD: Final = (0.85,)
SEEDS: Final = (1, 2, 3)
OTHER_LOAD: Final = 0.25
FLOOD_LOAD: Final = 10
RIVAL_LOAD: Final = 1
WAYS: Final = (
    runs.Way(name='static', slots={'mode': 'static'}),
    runs.Way(name='two choices', slots={'mode': 'two_choices'}),
    runs.Way(
        name='until idle', slots={'mode': 'leases_until_idle', 'tick_ms': 2}
    ),
    runs.Way(name='moved, 0 ms', slots={'mode': 'leases', 'tick_ms': 0}),
    runs.Way(name='moved, 2 ms', slots={'mode': 'leases', 'tick_ms': 2}),
    runs.Way(name='moved, 5 ms', slots={'mode': 'leases', 'tick_ms': 5}),
    runs.Way(name='moved, 20 ms', slots={'mode': 'leases', 'tick_ms': 20}),
)
DEFAULT_WAY: Final = WAYS[4]
CASES: Final = (
    'no flood',
    'low flood',
    'urgent flood',
    'normal flood',
    'three rivals',
)
# The tick matters most where slots are scarce.
TICKS: Final = (WAYS[3], WAYS[5], WAYS[6])


def compare_ways() -> None:
    """Run every way at every load with every seed."""
    rows = []
    print(
        tables.shown(tuple(one.name for one in dataclasses.fields(tables.Row)))
    )
    for way in WAYS:
        loads = HIGH_LOAD if way in TICKS else LOADS
        rows.extend(rows_of(way, loads))
    save('ways', rows)


def rows_of(way: runs.Way, loads: tuple[float, ...]) -> list[tables.Row]:
    """Run one way at some loads with every seed."""
    rows = []
    with runs.running(way) as system:
        for load, seed in itertools.product(loads, SEEDS):
            stream = plans.Stream(load=load, seconds=SECONDS)
            planned = plans.arrivals(stream, seed)
            run = runs.replay(system, planned)
            row = tables.row_of(way.name, load, seed, run)
            rows.append(row)
            cells = dataclasses.astuple(row)
            print(tables.shown(cells), flush=True)
    return rows


def other_work(seed: int) -> list[plans.Arrival]:
    """Return the work that a flood must not harm."""
    stream = plans.Stream(load=OTHER_LOAD, seconds=FLOOD_SECONDS, group='other')
    return plans.arrivals(stream, seed)


def flood(job: str, seed: int) -> list[plans.Arrival]:
    """Return a flood of a rival team at ten times the capacity."""
    stream = plans.Stream(
        load=FLOOD_LOAD,
        seconds=FLOOD_SECONDS,
        team='rival-a',
        job=job,
        group='flood',
        size=100,
    )
    return plans.arrivals(stream, seed)


def rivals(seed: int) -> list[plans.Arrival]:
    """Return three teams that each ask for the whole capacity."""
    planned = []
    for team in runs.TEAMS[1:]:
        stream = plans.Stream(
            load=RIVAL_LOAD,
            seconds=FLOOD_SECONDS,
            team=team,
            group=team,
            size=10,
        )
        planned.extend(plans.arrivals(stream, seed))
    return planned


def run_floods() -> None:
    """Run the floods and the rivals with every seed."""
    rows: list[Any] = []
    names = (one.name for one in dataclasses.fields(tables.Service))
    print(tables.shown(('seed', *names)))
    for seed, case in itertools.product(SEEDS, CASES):
        planned = planned_for(case, seed)
        with runs.running(DEFAULT_WAY) as system:
            run = runs.replay(system, planned)
        for group in sorted({arrival.group for arrival in planned}):
            service = tables.service_of(case, group, run)
            rows.append((seed, *dataclasses.astuple(service)))
            print(tables.shown(rows[-1]), flush=True)
    save('floods', rows)


def planned_for(case: str, seed: int) -> list[plans.Arrival]:
    """Return the jobs of a case."""
    match case:
        case 'three rivals':
            return rivals(seed)
        case 'no flood':
            return other_work(seed)
    job = case.removesuffix(' flood')
    return other_work(seed) + flood(job, seed)


def save(name: str, rows: Any) -> None:
    """Write the raw rows."""
    BUILD.mkdir(exist_ok=True)
    path = BUILD / f'slots-{name}.json'
    path.write_bytes(msgspec.json.encode(rows))


def main() -> None:
    """Run what was asked for, everything without a word."""
    asked = sys.argv[1:]
    if 'floods' not in asked:
        compare_ways()
    if 'ways' not in asked:
        run_floods()


if __name__ == '__main__':
    main()
