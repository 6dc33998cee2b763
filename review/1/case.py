"""One entry of another writer stops the list of minions.

A minion then drains. No machine learns of it, and tasks start there on.
"""

import asyncio
import json
import pathlib
import sys

from standins import programs, scene

KINDS = ('a', 'a', 'b')
STEPS = ({'Count': 2, 'Cpu': 14_000, 'MemMb': 64, 'EstimateMs': 200},)
WORK_MS = 200
# Two minions can take as much; all three are in use.
PER_S = 10
DRAIN_S = 2.0
# Time for which the draining minion stays beyond that.
LONGER_S = 4.0
CALM_S = 3.0
# The pages' bound: `RecoveryS`.
RECOVERY_S = 12.0
AFTER_S = 4.0
DEPTH = 1200
STRANGE_KEY = 'ffffffffffffffff'


def strange_entry():
    """Return an entry of another writer: one field is of another type."""
    entry = {
        'Service': scene.SERVICE,
        'Address': '127.0.0.1:9',
        'Zone': programs.ZONES[0],
        'Slots': 8,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Capacity': dict(scene.CAPACITY),
        'Labels': ['a', 'r0'],
        'Sequence': 1,
        'Version': 'VERSION',
    }
    nested = '[' * DEPTH + ']' * DEPTH
    return json.dumps(entry).replace('"VERSION"', nested).encode()


async def run(parts):
    """Let a minion drain, with or without the strange entry beside it."""
    clients = parts.clients
    for_s = 2 * CALM_S + DRAIN_S + LONGER_S + 1
    load = asyncio.ensure_future(
        clients.load(STEPS, work_ms=WORK_MS, per_s=PER_S, for_s=for_s)
    )
    await asyncio.sleep(CALM_S)
    if parts.has_trouble:
        parts.record.note('strange_entry', size=len(strange_entry()))
        parts.store.put((('servers', '', STRANGE_KEY), strange_entry()))
    await asyncio.sleep(CALM_S)
    leaving = parts.minions[0]
    leaving.drain(int((DRAIN_S + LONGER_S) * 1000))
    drained_s = parts.record.now()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    leaving.leave()
    await clients.finish(load)
    late = [
        line
        for line in parts.record.find('start', minion=leaving.name)
        if line['at_s'] > drained_s + DRAIN_S
    ]
    parts.record.note('late_starts', count=len(late), drained_s=drained_s)
    await show_restart(parts)
    return scene.BROKEN if late else scene.HELD


async def show_restart(parts):
    """Restart all processes; record what is served then. It isn't judged."""
    for host in parts.programs.hosts:
        parts.programs.kill(host)
        parts.programs.start(host, first=False)
    await asyncio.sleep(RECOVERY_S)
    begun_s = parts.record.now()
    clients = parts.clients
    load = clients.load(STEPS, work_ms=WORK_MS, per_s=PER_S, for_s=AFTER_S)
    await clients.finish(load)
    answers = [
        line['status']
        for line in parts.record.find('answer')
        if line['at_s'] > begun_s
    ]
    parts.record.note(
        'after_restart', served=answers.count(scene.OK), answers=len(answers)
    )


if __name__ == '__main__':
    here = pathlib.Path(__file__).parent
    sys.exit(scene.play(run, folder=here, nodes=3, kinds=KINDS))
