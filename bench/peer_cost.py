"""Measures what membership costs an idle fleet of real processes.

Run as `python bench/peer_cost.py --zones=3 --per_zones=1,3,6`.
"""

import statistics
import time
from collections.abc import Sequence
from typing import Final

from absl import app, flags

import peer_fleet
from guavaroad_standins import fleet

_PER_ZONES = flags.DEFINE_list(
    'per_zones', ['1', '3', '6'], 'Instances per availability zone, per run.'
)
_SECONDS = flags.DEFINE_float(
    'seconds', 20, 'Length of each measurement, seconds.'
)
_SETTLE_S: Final = 5
_KB_PER_MB: Final = 1024
_RATES: Final = ('messages_sent', 'frames_sent', 'bytes_sent', 'processor_s')

Sample = dict[str, float]


def read_sample(instance: fleet.EntryInstance) -> Sample:
    """Return the counters and the resource usage of an instance."""
    bus = peer_fleet.state_of(instance)['bus']
    processor_s, resident_kb = peer_fleet.usage(instance)
    return bus['counters'] | {
        'processor_s': processor_s,
        'resident_kb': resident_kb,
    }


def rates(name: str, before: list[Sample], after: list[Sample]) -> list[float]:
    """Return the increase of a counter per second, for each instance."""
    return [
        (last[name] - first[name]) / _SECONDS.value
        for first, last in zip(before, after, strict=True)
    ]


def measure(per_zone: int) -> None:
    """Run one fleet and print the mean and the maximum of each rate."""
    with peer_fleet.start_fleet(per_zone) as system:
        time.sleep(_SETTLE_S)
        before = [read_sample(instance) for instance in system.instances]
        time.sleep(_SECONDS.value)
        after = [read_sample(instance) for instance in system.instances]
    print(f'{len(before)} instances; rates per instance and second:')
    for name in _RATES:
        values = rates(name, before, after)
        print('  ', name, 'mean', round(statistics.fmean(values), 4))
        print('  ', name, 'max', round(max(values), 4))
    resident_kb = statistics.fmean(last['resident_kb'] for last in after)
    print('  ', 'resident MB', round(resident_kb / _KB_PER_MB))


def main(_: Sequence[str]) -> None:
    """Measure a fleet of every size."""
    for per_zone in map(int, _PER_ZONES.value):
        measure(per_zone)


if __name__ == '__main__':
    app.run(main)
