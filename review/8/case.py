"""UNASKED: tasks of a job start and run on long after it was cancelled."""

import asyncio

from standins_2 import minions, systems

ZONE = systems.ZONES[0]
MINIONS = 4
JOBS = 10
# Jobs that are cancelled: 40 %, the most that leave on the site.
CANCELLED = 4
CANCEL_AFTER_S = 0.5
# Bounds of the site.
CANCEL_S = 3
STOP_S = 0.05
TASK_MS = 5000
DEADLINE_MS = 20_000
ACKNOWLEDGED = frozenset((200, 202, 204, 410))


def job_document() -> dict:
    """Return a job of two steps."""
    step = {'Count': 2, 'Cpu': 1000, 'MemMb': 64, 'EstimateMs': TASK_MS}
    return {
        'TaskSpec': str(TASK_MS),
        'BestEffort': True,
        'Steps': [step, step | {'After': [0]}],
    }


class Cancels:
    """When the cancelling of each job was acknowledged.

    Attributes:
        system: The system.
        acknowledged_s: The time, by job.
    """

    def __init__(self, system: systems.System) -> None:
        self.system = system
        self.acknowledged_s: dict[str, float] = {}

    async def cancel(self, job: str) -> None:
        """Cancel a job; its client keeps waiting for the answer."""
        status = await self.system.send(self.system.nodes[0], 'DELETE', job)
        if status in ACKNOWLEDGED:
            self.acknowledged_s[job] = self.system.record.now_s()
            await asyncio.sleep(CANCEL_S + STOP_S)
            self.check_runs(job)

    def since_s(self, task: str) -> float:
        """Return the time since the job of a task was cancelled."""
        job = task.partition('.')[0]
        now_s = self.system.record.now_s()
        return now_s - self.acknowledged_s.get(job, now_s)

    def check_start(self, minion: minions.Minion, order: dict) -> None:
        """Check a start."""
        task = order['Task']
        self.system.record.add('start', task=task, minion=minion.name)
        if self.since_s(task) > CANCEL_S:
            self.system.violate(f'{task} starts after its job was cancelled')

    def check_runs(self, job: str) -> None:
        """Check that no task of a cancelled job runs on."""
        for task, holders in self.system.pool.holders.items():
            if holders and task.startswith(job):
                self.system.violate(f'{task} runs on after the cancel')


async def load(system: systems.System, cancels: Cancels) -> None:
    """Send the jobs, cancel some of them, and wait for the answers."""
    jobs = [format(number, '016x') for number in range(JOBS)]
    clients = [
        asyncio.create_task(
            system.send(
                system.nodes[0],
                'POST',
                job,
                job_document(),
                deadline_ms=DEADLINE_MS,
            )
        )
        for job in jobs
    ]
    await asyncio.sleep(CANCEL_AFTER_S)
    if system.has_trouble:
        await asyncio.gather(*map(cancels.cancel, jobs[:CANCELLED]))
    await asyncio.gather(*clients)


async def case(system: systems.System) -> None:
    """Run the case."""
    cancels = Cancels(system)
    system.pool.on_start = cancels.check_start
    await system.start_store()
    await system.add_minions(MINIONS, ZONE, 'a')
    await system.add_nodes(('front-a-1', ZONE), ('front-a-2', ZONE))
    await load(system, cancels)


if __name__ == '__main__':
    systems.main(case, __file__)
