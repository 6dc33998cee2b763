"""Measures one entry instance and prints a table: `make bench`.

`--profile=PATH` runs the instance under cProfile for one run and prints the
functions that took the most time.
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

_RUNS = flags.DEFINE_integer('runs', 3, 'Runs of every measure.')
_PROFILE = flags.DEFINE_string('profile', '', 'File for a profile.')
_SHOWN_FUNCTIONS: Final = 25
_STOP_S: Final = 60
_ROWS: Final = (
    ('start-up to ready, s', lambda one: one.start_up_s),
    ('idle, % of a core', lambda one: one.idle_cores * 100),
    ('idle memory, MiB', lambda one: one.rss_mib),
    ('direct call p50, ms', lambda one: one.direct_p50_ms),
    ('direct call p99, ms', lambda one: one.direct_p99_ms),
    ('path p50, ms', lambda one: one.path_p50_ms),
    ('path p99, ms', lambda one: one.path_p99_ms),
    ('added p50, ms', lambda one: one.path_p50_ms - one.direct_p50_ms),
    ('added p99, ms', lambda one: one.path_p99_ms - one.direct_p99_ms),
    ('task starts a second', lambda one: one.starts_per_s),
    ('processor time a start, ms', lambda one: one.start_cpu_ms),
)


async def run_once(reactor: Any) -> measures.Figures:
    """Measure a fresh system."""
    loop = open_loop.OpenLoop(reactor=reactor)
    with system.make(_PROFILE.value) as running:
        figures = await measures.measure(loop, running)
        process = running.instances[0].process
        process.terminate()
        process.wait(_STOP_S)
    return figures


async def run_all(reactor: Any) -> None:
    """Run every measure and print the table."""
    runs = []
    for _ in range(1 if _PROFILE.value else _RUNS.value):
        runs.append(await run_once(reactor))
    print_table(runs)
    if _PROFILE.value:
        profile = pstats.Stats(_PROFILE.value)
        profile.sort_stats('tottime').print_stats(_SHOWN_FUNCTIONS)


def print_table(runs: list[measures.Figures]) -> None:
    """Print the median and every run."""
    busy, _, _ = os.getloadavg()
    print(f'{os.cpu_count()} processors, load average {round(busy, 1)}')
    print('| measure | median | runs |')
    print('|---|---|---|')
    for name, value_of in _ROWS:
        found = [value_of(one) for one in runs]
        median = format(statistics.median(found), '.3g')
        each = ', '.join(format(one, '.3g') for one in found)
        print(f'| {name} | {median} | {each} |')


def main(_: Sequence[str]) -> None:
    """Run the loop until every measure is taken."""
    task.react(lambda reactor: defer.ensureDeferred(run_all(reactor)))


if __name__ == '__main__':
    app.run(main, argv=sys.argv)
