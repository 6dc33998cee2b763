"""Fits the cost of each size: `python -m bench.capacity [NAME ...]`.

Prints a table of the fitted lines and writes the raw points to
`build/capacity.json`.
"""

import os
import pathlib
import sys
import time
from typing import Final

import msgspec
from bench.capacity import one_instance, slopes, whole_fleet

OUTPUT: Final = pathlib.Path('build') / 'capacity.json'
EXPERIMENTS: Final = (
    one_instance.starts,
    one_instance.queued_tasks,
    one_instance.kept_outcomes,
    whole_fleet.peers,
    one_instance.upstreams,
    whole_fleet.patches,
    one_instance.teams,
)


def row(series: slopes.Series) -> str:
    """Return the table row of a series and its fitted line."""
    line = slopes.fit(series.points)
    cells = (
        series.name,
        series.size_name,
        ', '.join(map(format_point, series.points)),
        format(line.slope, '.3g'),
        format(line.intercept, '.3g'),
        format(line.r_squared, '.2f'),
        series.unit,
    )
    joined = ' | '.join(cells)
    return f'| {joined} |'


def format_point(point: slopes.Point) -> str:
    """Return a point as text."""
    size = format(point.size, '.4g')
    measured = format(point.measured, '.4g')
    return f'{size}: {measured}'


def main(selected: list[str]) -> None:
    """Run the named experiments, or all."""
    load_before = os.getloadavg()[0]
    print(f'load average {load_before:.1f} on {os.cpu_count()} cores')
    print('| measured | over | points | slope | at 0 | r2 | unit |')
    print('| --- | --- | --- | --- | --- | --- | --- |')
    measured = []
    for experiment in EXPERIMENTS:
        if selected and experiment.__name__ not in selected:
            continue
        started_s = time.monotonic()
        for series in experiment():
            print(row(series), flush=True)
            measured.append(series)
        elapsed_s = time.monotonic() - started_s
        print(f'{experiment.__name__}: {elapsed_s:.0f} s', file=sys.stderr)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.encode(measured))


if __name__ == '__main__':
    main(sys.argv[1:])
