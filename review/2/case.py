"""A start that waited in a frozen process runs beside the next one.

A node freezes for less than a second. The allocator has the starts stopped that
the node has not sent. Meanwhile some minions restart, and forget these stops.
"""

import asyncio
import base64
import json
import pathlib
import signal
import sys

from standins import client, scene

NODES = 4
MINIONS = 24
# Smallest link of the grown deployment. With it the nodes call the minions of
# the allocator as its agents, and owners send the starts of their jobs.
LINK_MBPS = 12.5
WORK_MS = 600
DEADLINE_MS = 4000
STEPS = ({'Count': 1, 'Cpu': 30_000, 'MemMb': 64, 'EstimateMs': WORK_MS},)
OWNER_PER_S = 30
OTHER_PER_S = 16
CALM_S = 3.0
PAUSE_S = 4.0
ROUNDS = 6
# Minions that crash in a round: 0.125 of them.
CRASHES = 3
# From the first stops that come before their start to the crash: the allocator
# has learned by then that these tasks don't run.
SETTLE_S = 0.12
DOWN_S = 0.1
UP_S = 0.06
# A round is left out if no such stop has come by then.
STOP_LIMIT_S = 0.7
CHECK_S = 0.01


async def run(parts):
    """Freeze an owner again and again, and crash minions meanwhile."""
    await asyncio.sleep(CALM_S)
    owner, other = following_hosts(parts)
    parts.record.note('roles', owner=owner, other=other)
    for_s = ROUNDS * (PAUSE_S + 1)
    owner_load = load_node(parts, owner, OWNER_PER_S, for_s)
    other_load = load_node(parts, other, OTHER_PER_S, for_s)
    loads = asyncio.gather(owner_load, other_load)
    for _ in range(ROUNDS):
        await asyncio.sleep(PAUSE_S)
        if parts.has_trouble:
            await freeze(parts, owner)
    await loads
    twice = find_twice(parts.record.lines)
    for line in twice:
        parts.record.note('twice', **line)
    parts.record.note('runs_at_the_same_time', count=len(twice))
    return scene.BROKEN if twice else scene.HELD


def following_hosts(parts):
    """Return two nodes that do not allocate, by the allocator's row."""
    row = parts.store.rows['guavaroad', 'allocation', 'holder']
    name = json.loads(base64.b64decode(row.text))['holder']
    hosts = parts.programs.hosts
    allocator = int(name.rpartition('-')[2])
    return [hosts[(allocator + step) % NODES] for step in (1, 2)]


async def load_node(parts, host, per_s, for_s):
    """Hand in jobs at one node, and wait for their answers."""
    clients = client.Clients(
        fronts=[(host, parts.programs.base)], record=parts.record, seed=per_s
    )
    for _ in range(int(per_s * for_s)):
        clients.submit(STEPS, work_ms=WORK_MS, limit_ms=DEADLINE_MS, tries=2)
        await asyncio.sleep(1 / per_s)
    await clients.wait()


async def freeze(parts, host):
    """Freeze a node; crash and restart minions before it goes on."""
    parts.record.note('freeze', host=host)
    begun_s = parts.record.now()
    parts.programs.signal(host, signal.SIGSTOP)
    stopped = await wait_for_stops(parts, begun_s)
    if stopped:
        await asyncio.sleep(SETTLE_S)
        await restart(stopped)
    parts.programs.signal(host, signal.SIGCONT)
    parts.record.note('continue', frozen_s=parts.record.now() - begun_s)


async def wait_for_stops(parts, begun_s):
    """Return minions that got a stop before its start, or none."""
    while parts.record.now() - begun_s < STOP_LIMIT_S:
        await asyncio.sleep(CHECK_S)
        names = {
            line['minion']
            for line in parts.record.find('stop_before_start')
            if line['at_s'] > begun_s
        }
        if len(names) >= CRASHES:
            found = [one for one in parts.minions if one.name in names]
            return found[:CRASHES]
    return []


async def restart(minions):
    """Crash minions; they start again under their ids."""
    for minion in minions:
        minion.crash()
    await asyncio.sleep(DOWN_S)
    for crashed in minions:
        await crashed.start()
    await asyncio.sleep(UP_S)


def find_twice(lines):
    """Return the starts of tasks that were at work on another minion."""
    running = {}
    found = []
    for line in lines:
        if line['event'] not in {'start', 'end', 'lost'}:
            continue
        place = (line['minion'], line['run'])
        runs = running.setdefault(line['task'], set())
        if line['event'] != 'start':
            runs.discard(place)
            continue
        if runs:
            found.append(
                {
                    'task': line['task'],
                    'started_s': line['at_s'],
                    'started': place,
                    'at_work': sorted(runs),
                }
            )
        runs.add(place)
    return found


if __name__ == '__main__':
    here = pathlib.Path(__file__).parent
    code = scene.play(
        run,
        folder=here,
        nodes=NODES,
        kinds=('a',) * MINIONS,
        link_mbps=LINK_MBPS,
    )
    sys.exit(code)
