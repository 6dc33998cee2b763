"""The parts of a case: platform, minions, nodes and clients."""

import asyncio
import contextlib
import os
import types

from standins import client, minion, programs, record, store

OK = 200
# Exit codes of a case; a failure of Python itself ends with 1.
HELD, BROKEN, NOT_RUN = 0, 10, 2
LIMIT_S = 105
MINION_HOST = '127.0.0.1'
QUEUE = 'lohu930'
LINK_MBPS = 1000.0
SERVICE = 'amakuru'
CAPACITY = types.MappingProxyType({'Cpu': 32_000, 'MemMb': 131_072})
CONFIG = types.MappingProxyType(
    {
        'Version': 1,
        'Routes': [
            {
                'Name': QUEUE,
                'Host': client.HOST_NAME,
                'PathPrefix': client.PREFIX,
                'Service': SERVICE,
                'Kind': 'non_idempotent',
                'TimeoutMs': 60_000,
                'TargetDurationMs': 60,
                'Priority': 1,
                'MaxAttempts': 4,
                'Stretch': 1.6,
            }
        ],
        'Services': [{'Name': SERVICE, 'EnforcesCapacity': False}],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 262_144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15_000,
        },
    }
)


class Scene:
    """A small system that is started for one case.

    Attributes:
        store: The platform's store.
        minions: Minions of the service.
        programs: Processes of the program.
        clients: Clients of the nodes.
        record: What was sent, answered and run.
        has_trouble: Whether the case's disruption is to be made.
    """

    def __init__(self, *, folder):
        self.record = record.Record(folder=folder)
        self.store = store.Store()
        self.minions = []
        self.programs = None
        self.clients = None
        self.has_trouble = os.environ.get('TROUBLE') != '0'

    async def start(self, *, nodes, kinds, link_mbps):
        """Start everything, with one minion for each of the given kinds.

        Returns:
            Whether every node has become ready.
        """
        port = await self.store.server.open(MINION_HOST, 0)
        store_address = f'{MINION_HOST}:{port}'
        self.store.put_json('op', 'config', dict(CONFIG))
        for number, kind in enumerate(kinds):
            await self.add_minion(number, kind)
        self.programs = programs.Programs(
            count=nodes, store=store_address, link_mbps=link_mbps
        )
        self.clients = client.Clients(
            fronts=self.programs.fronts, record=self.record
        )
        self.programs.start_all()
        return await self.programs.wait_ready()

    async def add_minion(self, number, kind):
        """Start one more minion."""
        entry = {
            'Service': SERVICE,
            'Zone': programs.ZONES[number % len(programs.ZONES)],
            'Version': 'v1',
            'Slots': 8,
            'ColdLeftMs': 0,
            'Capacity': dict(CAPACITY),
            'Labels': [kind, f'r{number}'],
        }
        added = minion.Minion(
            name=format(number + 1, '016x'),
            host=MINION_HOST,
            entry=entry,
            store=self.store,
            record=self.record,
        )
        self.minions.append(added)
        await added.start()

    def close(self):
        """End all processes."""
        if self.programs is not None:
            self.programs.close()


def play(case, *, folder, nodes, kinds, link_mbps=LINK_MBPS):
    """Play a case; return the exit code.

    Args:
        case: Coroutine function that gets the scene, and returns the exit code.
        folder: Folder of the record.
        nodes: Number of nodes.
        kinds: Kind of each minion.
        link_mbps: Capacity of the link of a node, as its settings give it.
    """
    size = {'nodes': nodes, 'kinds': kinds, 'link_mbps': link_mbps}
    return asyncio.run(play_in_loop(case, folder, size))


async def play_in_loop(case, folder, size):
    """Play a case on the running event loop; return the exit code."""
    with contextlib.closing(Scene(folder=folder)) as scene:
        if not await scene.start(**size):
            scene.record.note('not_ready')
            return NOT_RUN
        return await asyncio.wait_for(case(scene), LIMIT_S)
