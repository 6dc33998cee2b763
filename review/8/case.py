"""TWICE: a zone is cut off, while minions leave orders unanswered.

The allocator is in the zone that is cut off, and so are the minions that run
the tasks. The node that the client has sent its jobs to is in the other zone.
"""

import asyncio

from standins_2 import fleets, minions, systems

CUT_ZONE, OTHER_ZONE = systems.ZONES
# Length of the cut, in seconds; 5.9 s is the longest on the site.
CUT_S = 5
JOBS = 64
JOB_INTERVAL_S = 0.12
TASK_MS = 15_000
TASKS = 6
CPU = 2600
# Minions of the two zones; each runs twelve tasks at most.
MINIONS = 32
OTHER_MINIONS = 16
# Share of the orders that are carried out late, by the kinds of the bench.
LATE_SHARE = 0.5
DEADLINE_MS = 40_000
# Time between the last job and the cut, in seconds.
SETTLE_S = 1


def job_document() -> dict:
    """Return a job that needs not be stored."""
    step = {
        'Count': TASKS,
        'Cpu': CPU,
        'MemMb': 64,
        'EstimateMs': TASK_MS,
    }
    return {'TaskSpec': str(TASK_MS), 'BestEffort': True, 'Steps': [step]}


class Check:
    """Checks that no task runs twice at the same time.

    Attributes:
        system: The system.
    """

    def __init__(self, system: systems.System) -> None:
        self.system = system

    def check_start(self, minion: minions.Minion, order: dict) -> None:
        """Check a start."""
        task = order['Task']
        others = sorted(self.system.pool.holders.get(task, ()))
        self.system.record.add(
            'start',
            task=task,
            run=order['Run'],
            minion=minion.name,
            token=order['FencingToken'],
            runs_on=others,
        )
        if others:
            self.system.violate(f'{task} runs on {others} and {minion.name}')


async def submit_jobs(
    system: systems.System, owner: fleets.Node
) -> list[asyncio.Task]:
    """Send the jobs to one node, and return the waiting clients."""
    clients = []
    for number in range(JOBS):
        job = format(number, '016x')
        sending = system.send(
            owner, 'POST', job, job_document(), deadline_ms=DEADLINE_MS
        )
        clients.append(asyncio.create_task(sending))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.sleep(SETTLE_S)
    return clients


async def cut_zone(system: systems.System) -> None:
    """Cut the zone off, and delay orders, for some seconds."""
    if system.has_trouble:
        system.record.add('cut', zone=CUT_ZONE)
        system.partition.cut(CUT_ZONE)
        system.pool.late_share = LATE_SHARE
    await asyncio.sleep(CUT_S)
    system.pool.late_share = 0
    system.partition.heal()
    system.record.add('healed')


async def start_system(system: systems.System) -> fleets.Node:
    """Start the system, and return the node that gets the jobs."""
    await system.start_store()
    await system.add_minions(MINIONS, CUT_ZONE, 'a')
    await system.add_minions(OTHER_MINIONS, OTHER_ZONE, 'a')
    # The first node allocates.
    await system.add_nodes(('front-a-1', CUT_ZONE))
    return (
        await system.add_nodes(
            ('front-b-1', OTHER_ZONE), ('front-b-2', OTHER_ZONE)
        )
    )[0]


async def case(system: systems.System) -> None:
    """Run the case."""
    system.pool.on_start = Check(system).check_start
    owner = await start_system(system)
    if system.store.holder() != 'front-a-1':
        raise fleets.CannotRunError('another node allocates')
    clients = await submit_jobs(system, owner)
    await cut_zone(system)
    await asyncio.gather(*clients)


if __name__ == '__main__':
    systems.main(case, __file__)
