"""Time from an operator's patch to its force on every real process.

Run as `python bench/peer_patches.py --zones=3 --per_zone=3 --count=1000`.
"""

import statistics
import sys
import time
from collections.abc import Sequence
from concurrent import futures
from http import HTTPStatus
from typing import Final

from absl import app, flags

import peer_fleet
from guavaroad_standins import calls, fleet

_PER_ZONE = flags.DEFINE_integer('per_zone', 3, 'Instances of each zone.')
_COUNT = flags.DEFINE_integer('count', 1000, 'Patches one after another.')
_MS: Final = 1000
_POLL_S: Final = 0.002
_PERCENT: Final = 100


def patch(instance: fleet.EntryInstance, base: int) -> calls.Reply:
    """Patch one job."""
    change = {
        'teams': {'office': {}},
        'jobs': {'render': {'teams': ['office'], 'max_tasks': base + 1}},
    }
    return calls.call(
        'PATCH',
        instance.address,
        '/v1/config',
        body=change,
        headers={'If-Match': str(base), **peer_fleet.operator()},
    )


def serves(instance: fleet.EntryInstance, version: int) -> bool:
    """Return whether an instance serves a version or a later one."""
    shown = calls.call(
        'GET', instance.address, '/v1/config', headers=peer_fleet.operator()
    ).decoded()
    return bool(shown['extra']['version'] >= version)


def wait_serving(instance: fleet.EntryInstance, version: int) -> None:
    """Wait until an instance serves a version."""
    while not serves(instance, version):
        time.sleep(_POLL_S)


def wait_everywhere(system: fleet.Fleet, version: int) -> None:
    """Wait until every instance serves a version."""
    with futures.ThreadPoolExecutor(len(system.instances)) as pool:
        for instance in system.instances:
            pool.submit(wait_serving, instance, version)


def report(what: str, figures_ms: list[float]) -> None:
    """Print the percentiles of some times."""
    cuts = statistics.quantiles(figures_ms, n=_PERCENT)
    median = round(cuts[_PERCENT // 2 - 1], 1)
    high = round(cuts[-1], 1)
    print(f'{what}: p50 {median} ms, p99 {high} ms')
    print(f'{what}: longest {max(figures_ms):.1f} ms')


def run_patches(system: fleet.Fleet) -> None:
    """Send patches one after another and time each until in force."""
    answered: list[float] = []
    in_force: list[float] = []
    for base in range(_COUNT.value):
        begun_s = time.monotonic()
        driver = system.instances[base % len(system.instances)]
        reply = patch(driver, base)
        if reply.status != HTTPStatus.OK:
            sys.exit(f'refused at version {base}: {reply.body!r}')
        answered.append((time.monotonic() - begun_s) * _MS)
        wait_everywhere(system, base + 1)
        in_force.append((time.monotonic() - begun_s) * _MS)
    report('answered', answered)
    report('in force everywhere', in_force)


def main(_: Sequence[str]) -> None:
    """Run the patches and print the times."""
    with peer_fleet.started(_PER_ZONE.value) as system:
        run_patches(system)


if __name__ == '__main__':
    app.run(main)
