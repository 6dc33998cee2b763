"""Benchmarks one entry instance and prints a table: `make bench`.

`--profile=PATH` does a single run with the instance under cProfile, and prints
the functions that took the most time.
"""

import os
import pstats
import statistics
import sys
from collections.abc import Sequence
from typing import Any, Final

from absl import app, flags
from bench.edge import measures, open_loop, system
from twisted.internet import defer, task

_RUNS = flags.DEFINE_integer('runs', 3, 'Number of runs.')
_PROFILE = flags.DEFINE_string('profile', '', 'File for the profile.')
_SHOWN_FUNCTIONS: Final = 25
_STOP_TIMEOUT_S: Final = 60
_ROWS: Final = (
    ('start-up to ready, s', lambda figures: figures.start_up_s),
    ('idle, % of a core', lambda figures: figures.idle_cores * 100),
    ('idle memory, MiB', lambda figures: figures.rss_mib),
    ('direct call p50, ms', lambda figures: figures.direct_p50_ms),
    ('direct call p99, ms', lambda figures: figures.direct_p99_ms),
    ('job p50, ms', lambda figures: figures.job_p50_ms),
    ('job p99, ms', lambda figures: figures.job_p99_ms),
    (
        'overhead p50, ms',
        lambda figures: figures.job_p50_ms - figures.direct_p50_ms,
    ),
    (
        'overhead p99, ms',
        lambda figures: figures.job_p99_ms - figures.direct_p99_ms,
    ),
    ('task starts per second', lambda figures: figures.starts_per_s),
    ('processor time per start, ms', lambda figures: figures.start_cpu_ms),
)


async def run_once(reactor: Any) -> measures.Figures:
    """Measure a newly started system."""
    loop = open_loop.OpenLoop(reactor=reactor)
    with system.make(_PROFILE.value) as running:
        figures = await measures.measure(loop, running)
        process = running.instances[0].process
        process.terminate()
        process.wait(_STOP_TIMEOUT_S)
    return figures


async def run_all(reactor: Any) -> None:
    """Run the benchmark as often as asked and print the table."""
    runs = []
    for _ in range(1 if _PROFILE.value else _RUNS.value):
        runs.append(await run_once(reactor))
    print_table(runs)
    if _PROFILE.value:
        profile = pstats.Stats(_PROFILE.value)
        profile.sort_stats('tottime').print_stats(_SHOWN_FUNCTIONS)


def print_table(runs: list[measures.Figures]) -> None:
    """Print the median and every value of each measure."""
    load, _, _ = os.getloadavg()
    print(f'{os.cpu_count()} processors, load average {round(load, 1)}')
    print('| measure | median | runs |')
    print('|---|---|---|')
    for name, value_of in _ROWS:
        values = [value_of(figures) for figures in runs]
        median = format(statistics.median(values), '.3g')
        each = ', '.join(format(measured, '.3g') for measured in values)
        print(f'| {name} | {median} | {each} |')


def main(_: Sequence[str]) -> None:
    """Run the reactor until the benchmark has ended."""
    task.react(lambda reactor: defer.ensureDeferred(run_all(reactor)))


if __name__ == '__main__':
    app.run(main, argv=sys.argv)
