"""Stand-in of a minion: it runs tasks on orders, as the users' page says.

A task does no work: the text of its `TaskSpec` is its length in milliseconds.
"""

import asyncio
import random
import time

from standins import http_server

OK = 200
BAD_REQUEST = 400
CONFLICT = 409
OTHER_INSTANCE = 421
MS_PER_S = 1000
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_S = 0.03
LEASE_CHECK_S = 0.005
MAX_ENDS = 500
MAX_PERCENT = 99
# When orders that got no answer are carried out, in seconds.
LATE_S = (2, 12)
WHOLE_PERCENT = 100


class Run:
    """A task that is at work.

    Attributes:
        number: Number of the start.
        begun_s: Time of the start.
        work_s: Time that the task takes.
        timer: Timer of its end.
    """

    def __init__(self, *, number, work_s, timer):
        self.number = number
        self.begun_s = time.monotonic()
        self.work_s = work_s
        self.timer = timer

    def percent(self):
        """Return the progress."""
        share = (time.monotonic() - self.begun_s) / (self.work_s or 1)
        return min(int(WHOLE_PERCENT * share), MAX_PERCENT)


class Life:
    """What one incarnation of a minion knows; nothing of it outlives a crash.

    Attributes:
        born: Unix millisecond of its start.
        runs: Tasks at work, by name.
        ends: Ends that were not taken note of.
        ended: Highest number that was stopped or ended, by task.
        count: Number of the last end.
        token: Highest fencing token seen.
        lease_ms: End of the lease on its clock.
        begun_s: Time at which its clock showed 0.
        news: Set at each end, and replaced.
    """

    def __init__(self):
        self.born = int(time.time() * MS_PER_S)
        self.begun_s = time.monotonic()
        self.runs = {}
        self.ends = []
        self.ended = {}
        self.count = 0
        self.token = 0
        self.lease_ms = 0
        self.news = asyncio.Event()

    def clock_ms(self):
        """Return the time of its clock."""
        return int((time.monotonic() - self.begun_s) * MS_PER_S)

    def extend(self, until_ms):
        """Extend the lease; it never shortens."""
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(until_ms, longest_ms))

    def end(self, task, number, how):
        """End a run, and list the end."""
        run = self.runs.get(task)
        if run is None or run.number != number:
            return False
        run.timer.cancel()
        self.runs.pop(task)
        self.ended[task] = max(number, self.ended.get(task, 0))
        self.count += 1
        self.ends.append([self.count, task, number, how, ''])
        self.news.set()
        self.news = asyncio.Event()
        return True

    async def hold(self, poll):
        """Extend the lease, and return both lists; wait for an end if asked."""
        self.extend(poll.get('UntilMs', 0))
        seen = poll.get('LastSeen', 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        wait_s = poll.get('WaitMs', 0) / MS_PER_S
        if wait_s and not self.ends:
            waiting = asyncio.ensure_future(self.news.wait())
            await asyncio.wait((waiting,), timeout=wait_s)
            waiting.cancel()
        return self.report()

    def report(self):
        """Return both lists."""
        running = [
            [task, run.number, '', run.percent(), 0]
            for task, run in self.runs.items()
        ]
        return {'Running': running, 'Ended': self.ends[:MAX_ENDS]}


class Minion:
    """A minion with its entry in the store.

    Attributes:
        name: Its id.
        entry: Its entry in the store.
        life: Its incarnation; none while it is down.
        record: Receives what it does.
        tasks: What it does beside its calls.
        late_share: Share of the orders that get no answer, and are carried out
            late.
    """

    def __init__(self, *, name, host, entry, store, record):
        self.name = name
        self.host = host
        self.port = 0
        self.entry = entry
        self.store = store
        self.record = record
        self.life = None
        self.tasks = ()
        self.late_share = 0
        self.server = http_server.HttpServer(handler=self.answer_call)

    async def start(self, **changes):
        """Start an incarnation: report it to the store, and listen."""
        self.life = Life()
        self.port = await self.server.open(self.host, self.port)
        self.entry = self.entry | changes
        self.entry |= {
            'Address': f'{self.host}:{self.port}',
            'State': 'ready',
            'Sequence': 0,
            'born': self.life.born,
        }
        self.write_entry()
        self.note(
            'minion_up',
            labels=self.entry['Labels'],
            address=self.entry['Address'],
        )
        self.tasks = (
            asyncio.ensure_future(self.beat(self.life)),
            asyncio.ensure_future(self.watch_lease(self.life)),
        )

    def note(self, event, **fields):
        """Write a line of the record."""
        self.record.note(event, minion=self.name, **fields)

    def write_entry(self):
        """Write the entry to the store."""
        self.entry = self.entry | {'Sequence': self.entry['Sequence'] + 1}
        self.store.put_json('servers', self.name, self.entry)

    async def beat(self, life):
        """Write the entry again and again while an incarnation lives."""
        await asyncio.sleep(HEARTBEAT_S)
        while self.life is life:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self, life):
        """Kill what runs when the lease is over."""
        while self.life is life:
            await asyncio.sleep(LEASE_CHECK_S)
            if life.runs and life.clock_ms() > life.lease_ms:
                for task, run in tuple(life.runs.items()):
                    self.end(life, task, run.number, 'lapsed')

    def crash(self):
        """End the incarnation without a word; connections are reset."""
        life = self.life
        self.life = None
        self.server.close()
        for task, run in life.runs.items():
            run.timer.cancel()
            self.note('lost', task=task, run=run.number)
        self.note('minion_down')

    def drain(self, left_ms):
        """Report that it is about to leave."""
        self.entry |= {'State': 'draining', 'RemainingMs': left_ms}
        self.write_entry()
        self.note('draining')

    def leave(self):
        """Exit, and remove the entry; what runs is terminated."""
        self.crash()
        self.store.drop('servers', self.name)

    def end(self, life, task, number, how):
        """End a run."""
        if life.end(task, number, how) and self.life is life:
            self.note('end', task=task, run=number, how=how)

    async def answer_call(self, call):
        """Answer a call."""
        life = self.life
        is_order = call.path != '/guavaroad/hold'
        if is_order and random.random() < self.late_share:
            await asyncio.sleep(random.uniform(*LATE_S))
            if self.life is not life:
                raise OSError('the minion has gone')
            self.note('late_order', path=call.path, order=call.fields['Task'])
            await self.execute(life, call)
            raise OSError('the order gets no answer')
        return await self.execute(life, call)

    async def execute(self, life, call):
        """Carry out a call; return the response."""
        target = call.headers.get('target-instance', self.name)
        if target != self.name:
            return answer(life, OTHER_INSTANCE)
        fence = call.fields.get('FencingToken', 0)
        if fence < life.token:
            return answer(life, CONFLICT, Reason='fence')
        life.token = fence
        match call.path:
            case '/guavaroad/run-start':
                return self.start_run(life, call.fields)
            case '/guavaroad/run-stop':
                return self.stop_run(life, call.fields)
            case '/guavaroad/hold':
                lists = await life.hold(call.fields)
                return answer(life, OK, **lists)
        return answer(life, BAD_REQUEST)

    def start_run(self, life, order):
        """Start a task, or refuse it."""
        task, number = order['Task'], order['Run']
        present = life.runs.get(task)
        if present is not None and present.number == number:
            return answer(life, OK)
        if number <= life.ended.get(task, 0) or present is not None:
            life.extend(order['UntilMs'])
            return answer(life, CONFLICT, Reason='old')
        if order['UntilMs'] <= life.clock_ms():
            return answer(life, CONFLICT, Reason='late')
        life.extend(order['UntilMs'])
        work_s = float(order['TaskSpec']) / MS_PER_S
        timer = asyncio.get_running_loop().call_later(
            work_s, self.end, life, task, number, 'done'
        )
        life.runs[task] = Run(number=number, work_s=work_s, timer=timer)
        self.note(
            'start',
            task=task,
            run=number,
            spec=order['TaskSpec'],
            labels=self.entry['Labels'],
            state=self.entry['State'],
        )
        return answer(life, OK)

    def stop_run(self, life, order):
        """Stop a run, or reject it for good."""
        task, number = order['Task'], order['Run']
        if task not in life.runs and number > life.ended.get(task, 0):
            self.note('stop_before_start', task=task, run=number)
        if task not in life.runs:
            life.ended[task] = max(number, life.ended.get(task, 0))
        asyncio.get_running_loop().call_later(
            STOP_S, self.end, life, task, number, 'stopped'
        )
        return answer(life, OK)


def answer(life, status, **fields):
    """Return a response of an incarnation."""
    return status, {'ClockMs': life.clock_ms(), 'born': life.born, **fields}
