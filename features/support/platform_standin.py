"""A stand-in of the users' platform as one process: its store and workers.

It speaks what the platform's page says, on 127.0.0.1, and tells on a control
port what the workers saw and which promises were broken.
"""

import base64
import dataclasses
import functools
import json
import sys
import time
import types
from urllib import parse as urls

from twisted.internet import reactor

from guavaroad.adapters import http_door, reactor_timers
from guavaroad.domain.pool import outcomes, values
from guavaroad.ports import pool
from guavaroad_standins import pool_worker

HOST = '127.0.0.1'
TASK_CPU = 14_000
# A worker that has told that it leaves gets no work after this many seconds.
DRAIN_S = 2
# Each third worker has a clock that is as slow as the platform allows.
SLOW_CLOCK = 0.98
REASONS = types.MappingProxyType(
    {
        outcomes.Refusal.FENCED: 'fence',
        outcomes.Refusal.STALE_RUN: 'old',
        outcomes.Refusal.LEASE_OVER: 'late',
    }
)


def reply(visit, status, document):
    """Answer with a JSON document."""
    visit.answer(
        http_door.Answer(status=status, body=json.dumps(document).encode())
    )


class Store:
    """Rows with versions from one counter."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.is_away = False
        self.delay_s = 0
        self.loses_answers = False
        self.oldest = 0
        self.waiting = []
        self.writes = 0

    def put(self, table, part, key, text):
        """Write a row."""
        self.version += 1
        self.rows[table, part, key] = (text, self.version)
        waiting = self.waiting
        self.waiting = []
        for answer in waiting:
            answer()

    def put_json(self, table, key, document):
        """Write a row whose value is JSON."""
        body = base64.b64encode(json.dumps(document).encode()).decode()
        self.put(table, '', key, body)

    def row(self, name):
        """Return a row as it is sent."""
        text, version = self.rows[name]
        return {
            'TableName': name[0],
            'part': name[1],
            'Key': name[2],
            'Value': text,
            'ApiVersion': version,
        }

    def visit(self, visit):
        """Answer a call."""
        if self.is_away:
            reply(visit, 503, {})
            return
        path, _, query = visit.target.partition('?')
        fields = dict(urls.parse_qsl(query, keep_blank_values=True))
        call = {
            '/guavaroad/rows-get': self.get,
            '/guavaroad/rows-feed': self.feed,
            '/guavaroad/rows-tx': self.transact,
        }[path]
        if self.delay_s:
            reactor.callLater(self.delay_s, call, visit, fields)
        else:
            call(visit, fields)

    def reply(self, visit, status, document):
        """Answer, unless answers are lost after what they answer was done."""
        if not self.loses_answers:
            reply(visit, status, document)

    def change(self, *, away=False, delay_s=0, loses=False, forgets=False):
        """Put faults on the store, or lift them when none is named."""
        self.is_away = away
        self.delay_s = delay_s
        self.loses_answers = loses
        if forgets:
            self.oldest = self.version

    def answer(self, visit, names):
        """Answer with rows."""
        self.reply(
            visit,
            200,
            {
                'rows': [self.row(name) for name in names],
                'HasMore': False,
                'ApiVersion': self.version,
                'NowMs': int(time.monotonic() * 1000),
            },
        )

    def get(self, visit, fields):
        """Read rows of one partition."""
        wanted = (fields['TableName'], fields.get('part', ''))
        first = fields.get('From', '')
        names = sorted(
            name
            for name in self.rows
            if name[:2] == wanted and name[2] >= first
        )
        self.answer(visit, names)

    def feed(self, visit, fields):
        """Read what has changed, now or within a while."""
        after = int(fields['After'])
        if after < self.oldest:
            self.reply(visit, 410, {})
            return
        names = [
            name
            for name, (_, version) in self.rows.items()
            if name[0] == fields['TableName'] and version > after
        ]
        wait_ms = int(fields.get('WaitMs', 0))
        if names or wait_ms <= 0:
            self.answer(visit, names)
            return
        ended_s = time.monotonic() + wait_ms / 1000
        again = functools.partial(self.feed_again, visit, fields, ended_s)
        self.waiting.append(again)
        reactor.callLater(wait_ms / 1000, again)

    def feed_again(self, visit, fields, ended_s):
        """Look again for what has changed, unless that is answered."""
        if not visit.answered:
            left_ms = int((ended_s - time.monotonic()) * 1000)
            self.feed(visit, fields | {'WaitMs': left_ms})

    def transact(self, visit, _):
        """Write rows, if the versions are as expected."""
        self.writes += 1
        body = json.loads(visit.body)
        for wanted in body['Precondition']:
            name = (wanted['TableName'], wanted['part'], wanted['Key'])
            present = self.rows.get(name, ('', 0))[1]
            if present != wanted['ApiVersion']:
                rows = [self.row(name)] if name in self.rows else []
                self.reply(visit, 412, {'rows': rows})
                return
        for row in body['Put']:
            self.put(row['TableName'], row['part'], row['Key'], row['Value'])
        self.reply(visit, 200, {'ApiVersion': self.version, 'NowMs': 0})


class WorkerDoor:
    """One worker behind HTTP."""

    def __init__(self, *, one, book, entry):
        self.one = one
        self.book = book
        self.entry = entry
        self.is_silent = False
        self.twin = None

    def visit(self, visit):
        """Answer an order or a look."""
        if self.is_silent:
            return
        body = json.loads(visit.body)
        token = values.Token(body['FencingToken'])
        match visit.path:
            case '/guavaroad/run-start':
                self.start(visit, body, token)
            case '/guavaroad/run-stop':
                order = pool.StopOrder(
                    task=body['Task'], number=body['Run'], token=token
                )
                self.answer(visit, self.one.stop(order))
            case '/guavaroad/hold':
                look = pool.StatusPoll(
                    token=token,
                    last_end=body.get('LastSeen', 0),
                    until_ms=body.get('UntilMs'),
                    wait_ms=body.get('WaitMs', 0),
                )
                self.one.poll_status(
                    look, lambda found: self.answer(visit, found)
                )

    def start(self, visit, body, token):
        """Start a task whose payload says how long it takes."""
        task = body['Task']
        self.book.cpu[task] = TASK_CPU
        self.book.work_s[task] = float(body['TaskSpec']) / 1000
        order = pool.StartOrder(
            task=task,
            number=body['Run'],
            payload='',
            until_ms=body['UntilMs'],
            token=token,
        )
        outcome = self.one.start(order)
        if self.twin is not None:
            self.twin.start(order)
        self.note_draining(task)
        if self.one.faults.delay_orders_s:
            return
        self.answer(visit, outcome)

    def note_draining(self, task):
        """Note a start that came long after this worker began to leave."""
        name = self.one.facts.worker_id
        now_s = time.monotonic()
        since_s = self.book.draining.get(name, now_s)
        if now_s - since_s > DRAIN_S:
            self.book.late_starts.append((name, task, since_s, now_s))

    def answer(self, visit, outcome):
        """Answer in the platform's words."""
        match outcome:
            case outcomes.Accepted():
                reply(visit, 200, {'ClockMs': outcome.clock_ms})
            case outcomes.Refused():
                reason = REASONS[outcome.reason]
                reply(
                    visit,
                    409,
                    {'ClockMs': outcome.clock_ms, 'Reason': reason},
                )
            case outcomes.RunReport():
                reply(visit, 200, listing(outcome))


def listing(report):
    """Return a report in the platform's words."""
    return {
        'ClockMs': report.clock_ms,
        'born': report.started_ms,
        'Running': [
            [run.task, run.number, '', run.percent, 0] for run in report.running
        ],
        'Ended': [
            [end.position, end.task, end.number, end.kind.value, '']
            for end in report.ended
        ],
    }


class Standin:
    """The store, the workers and the control port."""

    def __init__(self, *, workers, zones):
        self.timers = reactor_timers.ReactorTimers(clock=reactor)
        self.book = pool_worker.Ledger()
        self.started_s = []
        self.store = Store()
        self.doors = {}
        self.ports = []
        self.listen(self.store.visit)
        self.listen(self.control)
        for number in range(workers):
            zone = zones[number % len(zones)]
            self.add_worker(number, zone)

    def listen(self, handler):
        """Listen on a free port."""
        door = http_door.Door(
            handler=handler,
            bounds=http_door.Bounds(idle_timeout_s=3600),
            timer_service=self.timers,
        )
        port = reactor.listenTCP(0, door, interface=HOST)
        self.ports.append(port.getHost().port)
        return self.ports[-1]

    def add_worker(self, number, zone):
        """Add a worker, and its entry."""
        facts = pool_worker.facts_of(number, zone=zone)
        one = pool_worker.SimWorker(clock=reactor, facts=facts, book=self.book)
        if number % 3 == 0:
            one.faults.clock_rate = SLOW_CLOCK
        door = WorkerDoor(one=one, book=self.book, entry={})
        port = self.listen(door.visit)
        door.entry = entry_of(facts, port)
        self.doors[facts.worker_id] = door
        self.list_worker(door)

    def list_worker(self, door, **changes):
        """Put the entry of a worker into the store."""
        door.entry |= changes
        name = door.one.facts.worker_id
        self.store.put_json('servers', name, door.entry)

    def restart_worker(self, door):
        """Let a worker crash and come again under its id."""
        door.one.crash()
        born_ms = door.one.facts.started_ms + 1000
        facts = dataclasses.replace(door.one.facts, started_ms=born_ms)
        faults = door.one.faults
        door.one = pool_worker.SimWorker(
            clock=reactor, facts=facts, book=self.book
        )
        door.one.faults = faults
        self.list_worker(door, born=born_ms)

    def drain_worker(self, door, *, is_told=True):
        """Let a worker leave; it comes back when it is restarted."""
        self.book.draining[door.one.facts.worker_id] = time.monotonic()
        if is_told:
            self.list_worker(door, State='draining')

    def refill_worker(self, door):
        """Let a worker that was leaving take work again."""
        self.book.draining.pop(door.one.facts.worker_id, None)
        self.restart_worker(door)
        self.list_worker(door, State='ready')

    def control(self, visit):
        """Tell what was seen, or switch a fault."""
        wanted = json.loads(visit.body) if visit.body else None
        reply(visit, 200, self.controlled(visit.path, wanted) or {})

    def controlled(self, path, wanted):
        """Do what was asked; return what is to be told."""
        match path:
            case '/state':
                return self.state()
            case '/workers':
                return self.worker_ports()
            case '/store':
                self.store.change(**wanted)
            case '/address':
                door = self.doors[wanted['id']]
                self.list_worker(door, Address=wanted['address'])
            case '/config':
                self.store.put_json('op', 'config', wanted)
            case '/entry':
                name = f'strange-{self.store.version}'
                self.store.put_json('servers', name, wanted)
            case '/worker':
                self.change_worker(wanted)
        return None

    def state(self):
        """Return what was seen."""
        return {
            'starts': self.book.starts,
            'done': sorted(self.book.done),
            'late_starts': self.book.late_starts,
            'broken': self.book.broken,
            'writes': self.store.writes,
            'holder': self.holder(),
        }

    def worker_ports(self):
        """Return the port of each worker."""
        return {
            name: int(door.entry['Address'].rpartition(':')[2])
            for name, door in self.doors.items()
        }

    def change_worker(self, wanted):
        """Put faults on a worker, or lift them when none is named."""
        door = self.doors[wanted['id']]
        door.is_silent = wanted.get('silent', False)
        faults = door.one.faults
        faults.fails = wanted.get('fails', False)
        faults.hangs = wanted.get('hangs', False)
        faults.pace = wanted.get('pace', 1)
        twin = self.doors.get(wanted.get('twin'))
        door.twin = twin and twin.one
        self.change_life(door, wanted.get('life'))

    def change_life(self, door, change):
        """Let a worker crash, leave or come back."""
        match change:
            case 'restart':
                self.restart_worker(door)
            case 'drain':
                self.drain_worker(door)
            case 'drain unsaid':
                self.drain_worker(door, is_told=False)
            case 'refill':
                self.refill_worker(door)
            case 'overstate':
                capacity = {'Cpu': 4 * door.one.facts.capacity.cpu}
                self.list_worker(door, Capacity=capacity | {'MemMb': 1000})

    def holder(self):
        """Return the row that names the allocator."""
        for name, (text, _) in self.store.rows.items():
            if name[1:] == ('allocation', 'holder'):
                return json.loads(base64.b64decode(text))
        return None


def entry_of(facts, port):
    """Return what a worker writes of itself."""
    return {
        'Service': 'pool',
        'Address': f'{HOST}:{port}',
        'Zone': facts.zone,
        'Version': 'v1',
        'Slots': 8,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Capacity': {'Cpu': facts.capacity.cpu, 'MemMb': 1000},
        'Labels': list(facts.labels),
        'Sequence': 1,
        'born': facts.started_ms,
    }


def main():
    """Serve, and print the ports of the store and of the control page."""
    workers, zones = int(sys.argv[1]), sys.argv[2].split(',')
    standin = Standin(workers=workers, zones=zones)
    sys.stdout.write(f'{standin.ports[0]} {standin.ports[1]}\n')
    sys.stdout.flush()
    reactor.run()


if __name__ == '__main__':
    main()
