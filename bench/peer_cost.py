"""What membership costs an idle fleet of real processes, at some sizes.

Run as `python bench/peer_cost.py --zones=3 --per_zones=1,3,6`.
"""

import statistics
import time
from collections.abc import Sequence
from typing import Final

from absl import app, flags

import peer_fleet
from guavaroad_standins import fleet

_PER_ZONES = flags.DEFINE_list('per_zones', ['1', '3', '6'], 'Sizes to run.')
_SECONDS = flags.DEFINE_float('seconds', 20, 'Length of each run.')
_SETTLE_S: Final = 5
_KB_PER_MB: Final = 1024
_RATES: Final = ('messages_sent', 'frames_sent', 'bytes_sent', 'processor_s')

Sample = dict[str, float]


def sample(instance: fleet.EntryInstance) -> Sample:
    """Return the counters of an instance."""
    bus = peer_fleet.dump(instance)['bus']
    processor_s, resident_kb = peer_fleet.usage(instance)
    return bus['counters'] | {
        'processor_s': processor_s,
        'resident_kb': resident_kb,
    }


def rates(name: str, before: list[Sample], after: list[Sample]) -> list[float]:
    """Return a counter's growth a second for each instance."""
    return [
        (late[name] - early[name]) / _SECONDS.value
        for early, late in zip(before, after, strict=True)
    ]


def measure(per_zone: int) -> None:
    """Run one fleet and print its mean and largest figures."""
    with peer_fleet.started(per_zone) as system:
        time.sleep(_SETTLE_S)
        before = [sample(one) for one in system.instances]
        time.sleep(_SECONDS.value)
        after = [sample(one) for one in system.instances]
    print(f'{len(before)} instances, for each a second:')
    for name in _RATES:
        found = rates(name, before, after)
        print('  ', name, 'mean', round(statistics.fmean(found), 4))
        print('  ', name, 'most', round(max(found), 4))
    resident_kb = statistics.fmean(late['resident_kb'] for late in after)
    print('  ', 'resident MB', round(resident_kb / _KB_PER_MB))


def main(_: Sequence[str]) -> None:
    """Run every size."""
    for per_zone in map(int, _PER_ZONES.value):
        measure(per_zone)


if __name__ == '__main__':
    app.run(main)
