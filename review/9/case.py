"""Fault: processes exceed their memory, as each term as allocator adds to it.

The nodes allocate in turn, as the one that allocates is frozen for less than a
second each time. The platform ends a process that exceeds its memory.
"""

import asyncio
import collections
import signal

from standins_2 import fleets, systems

ZONE = systems.ZONES[0]
# Memory of a machine of the site, in MB.
MEMORY_MB = 300
# Length of a freeze, in seconds; 4 s is the longest on the site.
FREEZE_S = 0.65
# Time between a freeze and the next, in seconds.
CALM_S = 0.7
PLAY_S = 100
# Time of the one kill, in seconds. The processes that allocate in turn would
# exceed their memory at the same time otherwise.
KILL_AT_S = 12
CHECK_S = 0.05
RESTART_S = 0.3
# An end within this time of a disruption of its machine does not count.
NEAR_S = 1
# Ends on a machine, and machines with so many, that break the rule.
ENDS = 3
MACHINES = 2


class Play:
    """Freezes the allocator, and ends processes that exceed their memory.

    Attributes:
        system: The system.
        disturbed_s: End of the last disruption of a node, by its name.
        ends: Ends by themselves, by the name of the node.
        terms: Changes of the allocator.
    """

    def __init__(self, system: systems.System) -> None:
        self.system = system
        self.disturbed_s: dict[str, float] = {}
        self.ends: collections.Counter[str] = collections.Counter()

    async def freeze_in_turn(self) -> None:
        """Freeze the node that allocates, again and again."""
        while True:
            if self.system.has_trouble:
                nodes = self.system.nodes
                await self.freeze(max(nodes, key=fleets.Node.last_token))
            await asyncio.sleep(CALM_S)

    async def freeze(self, node: fleets.Node) -> None:
        """Freeze a node, unless one of them is just starting."""
        ready = [await other.is_ready() for other in self.system.nodes]
        if not all(ready):
            return
        self.system.record.add('freeze', node=node.name, mb=node.memory_mb())
        self.disturbed_s[node.name] = float('inf')
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        node.send_signal(signal.SIGCONT)
        self.disturbed_s[node.name] = self.system.record.now_s()

    async def kill_once(self, node: fleets.Node) -> None:
        """Kill a node once, and start it again."""
        await asyncio.sleep(KILL_AT_S)
        if self.system.has_trouble:
            self.system.record.add('kill', node=node.name)
            await self.restart(node)
            self.disturbed_s[node.name] = self.system.record.now_s()

    async def restart(self, node: fleets.Node) -> None:
        """End a process, and start it again."""
        node.stop()
        await asyncio.sleep(RESTART_S)
        node.respawn()
        self.system.partition.zones[node.process_id()] = node.zone

    async def watch_memory(self) -> None:
        """End the processes that exceed their memory, as the platform does."""
        while True:
            for node in self.system.nodes:
                if node.memory_mb() > MEMORY_MB:
                    await self.end(node)
            await asyncio.sleep(CHECK_S)

    async def end(self, node: fleets.Node) -> None:
        """End a process, and start it again."""
        now_s = self.system.record.now_s()
        is_counted = now_s - self.disturbed_s.get(node.name, 0) > NEAR_S
        self.system.record.add(
            'ended', node=node.name, mb=node.memory_mb(), counts=is_counted
        )
        self.ends[node.name] += is_counted
        await self.restart(node)

    def judge(self) -> None:
        """Compare the ends with the rule."""
        machines = [name for name, ends in self.ends.items() if ends >= ENDS]
        self.system.record.add('ends', **self.ends)
        if len(machines) >= MACHINES:
            self.system.violate(f'{ENDS} ends or more on {machines}')


async def case(system: systems.System) -> None:
    """Run the case."""
    await system.start_store()
    await system.add_minions(4, ZONE, 'a')
    await system.add_nodes(
        ('front-a-1', ZONE), ('front-a-2', ZONE), ('front-a-3', ZONE)
    )
    play = Play(system)
    parts = [
        asyncio.create_task(play.freeze_in_turn()),
        asyncio.create_task(play.watch_memory()),
        asyncio.create_task(play.kill_once(system.nodes[1])),
    ]
    await asyncio.wait(parts, timeout=PLAY_S)
    for part in parts:
        part.cancel()
    play.judge()


if __name__ == '__main__':
    systems.main(case, __file__)
