"""Measures how long a patch takes to be in force on every instance.

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

_PER_ZONE = flags.DEFINE_integer(
    'per_zone', 3, 'Instances per availability zone.'
)
_COUNT = flags.DEFINE_integer('count', 1000, 'Number of patches.')
_MS_PER_S: Final = 1000
_POLL_INTERVAL_S: Final = 0.002
_PERCENT: Final = 100


def patch(instance: fleet.EntryInstance, base: int) -> calls.Reply:
    """Send a patch that changes one job; return the response."""
    change = {
        'teams': {'office': {}},
        'jobs': {'render': {'teams': ['office'], 'max_tasks': base + 1}},
    }
    return calls.call(
        'PATCH',
        instance.address,
        '/v1/config',
        body=change,
        headers={'If-Match': str(base), **peer_fleet.operator_headers()},
    )


def serves(instance: fleet.EntryInstance, version: int) -> bool:
    """Return whether an instance serves a version or a later one."""
    document = calls.call(
        'GET',
        instance.address,
        '/v1/config',
        headers=peer_fleet.operator_headers(),
    ).decoded()
    return bool(document['extra']['version'] >= version)


def wait_serving(instance: fleet.EntryInstance, version: int) -> None:
    """Wait until an instance serves a version."""
    while not serves(instance, version):
        time.sleep(_POLL_INTERVAL_S)


def wait_everywhere(system: fleet.Fleet, version: int) -> None:
    """Wait until every instance serves a version."""
    with futures.ThreadPoolExecutor(len(system.instances)) as pool:
        for instance in system.instances:
            pool.submit(wait_serving, instance, version)


def report(name: str, latencies_ms: list[float]) -> None:
    """Print the percentiles of some latencies."""
    percentiles = statistics.quantiles(latencies_ms, n=_PERCENT)
    median = round(percentiles[_PERCENT // 2 - 1], 1)
    p99 = round(percentiles[-1], 1)
    print(f'{name}: p50 {median} ms, p99 {p99} ms')
    print(f'{name}: max {max(latencies_ms):.1f} ms')


def run_patches(system: fleet.Fleet) -> None:
    """Send patches in turn and measure when each is in force."""
    answered: list[float] = []
    in_force: list[float] = []
    for base in range(_COUNT.value):
        started_s = time.monotonic()
        receiver = system.instances[base % len(system.instances)]
        reply = patch(receiver, base)
        if reply.status != HTTPStatus.OK:
            sys.exit(f'patch of version {base} refused: {reply.body!r}')
        answered.append((time.monotonic() - started_s) * _MS_PER_S)
        wait_everywhere(system, base + 1)
        in_force.append((time.monotonic() - started_s) * _MS_PER_S)
    report('answered', answered)
    report('in force everywhere', in_force)


def main(_: Sequence[str]) -> None:
    """Run the patches and print the latencies."""
    with peer_fleet.start_fleet(_PER_ZONE.value) as system:
        run_patches(system)


if __name__ == '__main__':
    app.run(main)
