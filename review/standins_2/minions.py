"""Minions as the users' pages describe them: fences, leases, runs and ends."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from standins_2 import records, stores, wire

HEARTBEAT_S = 1.5
LEASE_CHECK_S = 0.005
# Time that a stop takes, in seconds; 50 ms at most by the pages.
STOP_S = 0.03
HOLD_MAX_MS = 1000
MS_PER_S = 1000
CONFLICT = 409
OTHER_INCARNATION = 421
MAX_PERCENT = 99
# Delay of the orders that are carried out late, in seconds.
LATE_S = (2, 12)
# Ends in one report.
MAX_ENDS = 500
CAPACITY_CPU = 32_000
CAPACITY_MB = 131_072


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """A run of a task.

    Attributes:
        number: Run number.
        began_s: Its start, on the monotonic clock.
        work_s: Time that it takes, in seconds.
        timer: Ends it.
    """

    number: int
    began_s: float
    work_s: float
    timer: asyncio.TimerHandle

    def percent(self) -> int:
        """Return its progress."""
        share = (time.monotonic() - self.began_s) / self.work_s
        return min(int(share * 100), MAX_PERCENT)


class Life:
    """What a minion knows from its start to its end.

    Attributes:
        began_s: Its start, on the monotonic clock.
        born: Its start, in Unix milliseconds.
        token: Highest fencing token that it has seen.
        until_ms: End of the lease on its own clock.
        running: Runs by task.
        stopped: Highest run number that was stopped or ended, by task.
        ended: Ends that were not taken note of.
        last_end: Number of the last end.
        changed: Set with each end, and replaced.
    """

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.born = int(time.time() * MS_PER_S)
        self.token = 0
        self.until_ms = 0
        self.running: dict[str, Run] = {}
        self.stopped: dict[str, int] = {}
        self.ended: list[list] = []
        self.last_end = 0
        self.changed = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the time on its own clock."""
        return int((time.monotonic() - self.began_s) * MS_PER_S)

    def extend(self, until_ms: int) -> None:
        """Extend the lease, within the longest hold."""
        latest_ms = self.clock_ms() + HOLD_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, latest_ms))

    def is_fenced(self, token: int) -> bool:
        """Note a token; return whether a higher one was seen before."""
        if token < self.token:
            return True
        self.token = token
        return False

    def refusal_of(self, order: dict) -> str:
        """Return why a start is refused; empty if it is not."""
        task, number = order['Task'], order['Run']
        if self.is_fenced(order['FencingToken']):
            return 'fence'
        present = self.running.get(task)
        is_old = present is not None and present.number > number
        if is_old or number <= self.stopped.get(task, 0):
            self.extend(order['UntilMs'])
            return 'old'
        return 'late' if order['UntilMs'] <= self.clock_ms() else ''

    def report(self) -> dict:
        """Return the lists of runs."""
        return {
            'ClockMs': self.clock_ms(),
            'born': self.born,
            'Running': [
                [task, run.number, '', run.percent(), 0]
                for task, run in self.running.items()
            ],
            'Ended': self.ended[:MAX_ENDS],
        }

    def note_number(self, task: str, number: int) -> None:
        """Note that a run and all earlier ones must not start any more."""
        self.stopped[task] = max(self.stopped.get(task, 0), number)

    def record_end(self, task: str, how: str) -> Run:
        """Move a run to the list of ends."""
        run = self.running.pop(task)
        run.timer.cancel()
        self.last_end += 1
        self.ended.append([self.last_end, task, run.number, how, ''])
        self.note_number(task, run.number)
        self.changed.set()
        self.changed = asyncio.Event()
        return run


class Pool:
    """All minions, and what a check needs to know of their runs.

    Attributes:
        store: Holds their entries.
        record: The record of the run.
        minions: Minions by id.
        holders: Minions on which a task runs, by task.
        on_start: Called with the minion and the order of each start.
        late_share: Share of the orders that get no answer and are carried out
            some seconds later.
        random: Chooses these orders.
    """

    def __init__(self, *, store: stores.Store, record: records.Record) -> None:
        self.store = store
        self.record = record
        self.minions: dict[str, Minion] = {}
        self.holders: dict[str, set[str]] = {}
        self.on_start: Callable[[Minion, dict], None] = ignore
        self.late_share = float(0)
        self.random = random.Random()

    async def add(self, minion: 'Minion') -> None:
        """Add a minion, and start it."""
        self.minions[minion.name] = minion
        await minion.server.start()
        minion.write_entry()
        minion.loops.append(asyncio.create_task(minion.keep_entry()))
        minion.loops.append(asyncio.create_task(minion.keep_lease()))


class Minion:
    """A minion: its entry in the store, and its present life.

    Attributes:
        pool: The other minions.
        name: Its id.
        labels: Its kind and its rack.
        life: Its present life; none while it is down.
        server: Accepts connections.
        sequence: Number of the last heartbeat.
        loops: Its periodic work.
    """

    def __init__(
        self,
        *,
        pool: Pool,
        name: str,
        zone: str,
        labels: tuple[str, ...],
        partition: wire.partitions.Partition,
    ) -> None:
        self.pool = pool
        self.name = name
        self.labels = labels
        self.life: Life | None = Life()
        self.server = wire.Server(
            zone=zone, partition=partition, handler=self.serve_call
        )
        self.sequence = 0
        self.loops: list[asyncio.Task] = []

    def write_entry(self) -> None:
        """Write its entry to the store, unless it is down."""
        if self.life is None:
            return
        self.sequence += 1
        self.pool.store.put_document(
            'servers',
            self.name,
            {
                'Service': 'pool',
                'Address': self.server.address(),
                'Zone': self.server.zone,
                'Version': 'v1',
                'Slots': 8,
                'State': 'ready',
                'ColdLeftMs': 0,
                'Sequence': self.sequence,
                'Capacity': {'Cpu': CAPACITY_CPU, 'MemMb': CAPACITY_MB},
                'Labels': list(self.labels),
                'born': self.life.born,
            },
        )

    async def keep_entry(self) -> None:
        """Write its entry periodically."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    async def keep_lease(self) -> None:
        """End all runs when the lease has expired."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            life = self.life
            if life is not None and life.clock_ms() >= life.until_ms:
                for task in tuple(life.running):
                    self.end(life, task, 'lapsed')

    def end(self, life: Life, task: str, how: str) -> None:
        """End a run, if it still runs."""
        if life is self.life and task in life.running:
            run = life.record_end(task, how)
            self.pool.holders[task].discard(self.name)
            self.pool.record.add(
                'end', task=task, run=run.number, minion=self.name, how=how
            )

    async def serve_call(
        self, channel: wire.Channel, request: wire.Request
    ) -> None:
        """Handle a call."""
        life = self.life
        if life is None:
            channel.abort()
            return
        if request.headers.get('target-instance', self.name) != self.name:
            await channel.respond(OTHER_INCARNATION, {})
            return
        order = request.document()
        match request.target.rpartition('/')[2]:
            case 'hold':
                await self.hold(channel, life, order)
            case 'run-start':
                await self.carry_out(channel, life, order, self.start)
            case 'run-stop':
                await self.carry_out(channel, life, order, self.stop)

    async def carry_out(
        self,
        channel: wire.Channel,
        life: Life,
        order: dict,
        action: Callable[[Life, dict], str],
    ) -> None:
        """Carry out an order and answer it, or carry it out later."""
        if self.pool.random.random() >= self.pool.late_share:
            await self.answer(channel, life, action(life, order))
            return
        self.pool.record.add(
            'late',
            order=action.__name__,
            task=order['Task'],
            run=order['Run'],
            minion=self.name,
        )
        await asyncio.sleep(self.pool.random.uniform(*LATE_S))
        if life is self.life:
            action(life, order)
        channel.abort()

    async def answer(
        self, channel: wire.Channel, life: Life, reason: str
    ) -> None:
        """Answer an order."""
        clock = {'ClockMs': life.clock_ms()}
        if reason:
            await channel.respond(CONFLICT, clock | {'Reason': reason})
        else:
            await channel.respond(wire.OK, clock)

    async def hold(
        self, channel: wire.Channel, life: Life, order: dict
    ) -> None:
        """Extend the lease, and return the lists, perhaps after a wait."""
        if life.is_fenced(order['FencingToken']):
            await self.answer(channel, life, 'fence')
            return
        life.extend(order.get('UntilMs', 0))
        seen = order.get('LastSeen', 0)
        life.ended = [end for end in life.ended if end[0] > seen]
        wait_s = order.get('WaitMs', 0) / MS_PER_S
        if wait_s and not life.ended:
            await stores.wait_for(life.changed, wait_s)
        if life is self.life:
            await channel.respond(wire.OK, life.report())
        else:
            channel.abort()

    def start(self, life: Life, order: dict) -> str:
        """Start a run; return why it is refused, or nothing."""
        task, number = order['Task'], order['Run']
        present = life.running.get(task)
        reason = life.refusal_of(order)
        if reason:
            return reason
        life.extend(order['UntilMs'])
        if present is not None and present.number == number:
            return ''
        self.pool.on_start(self, order)
        self.pool.holders.setdefault(task, set()).add(self.name)
        # The text of a task begins with the time that it takes.
        work_s = float(order['TaskSpec'].split()[0]) / MS_PER_S
        loop = asyncio.get_running_loop()
        life.running[task] = Run(
            number=number,
            began_s=time.monotonic(),
            work_s=work_s,
            timer=loop.call_later(work_s, self.end, life, task, 'done'),
        )
        return ''

    def stop(self, life: Life, order: dict) -> str:
        """Stop a run; return why it is refused, or nothing."""
        if life.is_fenced(order['FencingToken']):
            return 'fence'
        task, number = order['Task'], order['Run']
        life.note_number(task, number)
        run = life.running.get(task)
        if run is not None and run.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end, life, task, 'stopped')
        return ''

    def crash(self) -> None:
        """End the present life."""
        life = self.life
        if life is None:
            return
        self.pool.record.add('crash', minion=self.name)
        for task in tuple(life.running):
            self.end(life, task, 'crashed')
        self.life = None
        self.server.reset()

    async def move(self) -> None:
        """Listen at another address, and at the former one no more."""
        await self.server.stop()
        await self.server.start()

    def restart(self, labels: tuple[str, ...]) -> None:
        """Begin a new life under the same id, perhaps as another kind."""
        self.labels = labels
        self.life = Life()
        self.pool.record.add(
            'restart', minion=self.name, born=self.life.born, labels=labels
        )
        self.write_entry()


def ignore(*_: object) -> None:
    """Ignore a start."""
