"""A stand-in of the users' platform in one process: its store and workers.

It serves the platform's wire format on 127.0.0.1. A control port reports what
the workers have received and which guarantees were violated, and sets faults.
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

from guavaroad.adapters import http_listener, reactor_timers
from guavaroad.domain.pool import outcomes, values
from guavaroad.ports import pool
from guavaroad_standins import pool_worker

HOST = '127.0.0.1'
TASK_CPU_MILLIS = 14_000
# Seconds after which a draining worker must get no more work.
DRAIN_LIMIT_S = 2
# Time from the start of a deadly task to the crash, in seconds.
CRASH_DELAY_S = 0.005
LEASE_MS = 1000
# Clock rate of each third worker: the slowest that the platform allows.
SLOW_CLOCK_RATE = 0.98
REASONS = types.MappingProxyType(
    {
        outcomes.Refusal.FENCED: 'fence',
        outcomes.Refusal.STALE_RUN: 'old',
        outcomes.Refusal.LEASE_OVER: 'late',
    }
)


def respond(request, status, document):
    """Send a response with a JSON document."""
    request.answer(
        http_listener.Answer(status=status, body=json.dumps(document).encode())
    )


class Store:
    """Rows of the store, versioned by one counter.

    Attributes:
        oldest: Version below which the feed of changes is lost.
        waiting: Calls that answer the waiting reads of changes.
        writes: Number of transactions, including failed ones.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.is_away = False
        self.delay_s = 0
        self.drops_responses = False
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
        """Return a row in the wire format."""
        text, version = self.rows[name]
        return {
            'TableName': name[0],
            'part': name[1],
            'Key': name[2],
            'Value': text,
            'ApiVersion': version,
        }

    def handle_request(self, request):
        """Handle a request."""
        if self.is_away:
            respond(request, 503, {})
            return
        path, _, query = request.target.partition('?')
        fields = dict(urls.parse_qsl(query, keep_blank_values=True))
        call = {
            '/guavaroad/rows-get': self.get,
            '/guavaroad/rows-feed': self.feed,
            '/guavaroad/rows-tx': self.transact,
        }[path]
        if self.delay_s:
            reactor.callLater(self.delay_s, call, request, fields)
        else:
            call(request, fields)

    def respond(self, request, status, document):
        """Send a response, unless responses are being lost."""
        if not self.drops_responses:
            respond(request, status, document)

    def change(self, *, away=False, delay_s=0, loses=False, forgets=False):
        """Set the faults of the store; those not given are removed."""
        self.is_away = away
        self.delay_s = delay_s
        self.drops_responses = loses
        if forgets:
            self.oldest = self.version

    def answer(self, request, names):
        """Send a response with rows."""
        self.respond(
            request,
            200,
            {
                'rows': [self.row(name) for name in names],
                'HasMore': False,
                'ApiVersion': self.version,
                'NowMs': int(time.monotonic() * 1000),
            },
        )

    def get(self, request, fields):
        """Return rows of one partition."""
        partition = (fields['TableName'], fields.get('part', ''))
        first = fields.get('From', '')
        names = sorted(
            name
            for name in self.rows
            if name[:2] == partition and name[2] >= first
        )
        self.answer(request, names)

    def feed(self, request, fields):
        """Return the changes after a version, or wait for some."""
        after = int(fields['After'])
        if after < self.oldest:
            self.respond(request, 410, {})
            return
        names = [
            name
            for name, (_, version) in self.rows.items()
            if name[0] == fields['TableName'] and version > after
        ]
        wait_ms = int(fields.get('WaitMs', 0))
        if names or wait_ms <= 0:
            self.answer(request, names)
            return
        ended_s = time.monotonic() + wait_ms / 1000
        retry = functools.partial(self.retry_feed, request, fields, ended_s)
        self.waiting.append(retry)
        reactor.callLater(wait_ms / 1000, retry)

    def retry_feed(self, request, fields, ended_s):
        """Retry a waiting read of changes."""
        if not request.answered:
            left_ms = int((ended_s - time.monotonic()) * 1000)
            self.feed(request, fields | {'WaitMs': left_ms})

    def transact(self, request, _):
        """Write rows, if the preconditions hold."""
        self.writes += 1
        body = json.loads(request.body)
        for precondition in body['Precondition']:
            name = (
                precondition['TableName'],
                precondition['part'],
                precondition['Key'],
            )
            present = self.rows.get(name, ('', 0))[1]
            if present != precondition['ApiVersion']:
                rows = [self.row(name)] if name in self.rows else []
                self.respond(request, 412, {'rows': rows})
                return
        for row in body['Put']:
            self.put(row['TableName'], row['part'], row['Key'], row['Value'])
        self.respond(request, 200, {'ApiVersion': self.version, 'NowMs': 0})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeadlyTasks:
    """Tasks that crash the workers that start them.

    Attributes:
        digit: Last digit of the ids of their jobs; empty for none.
        restart_s: Time until a crashed worker is back, in seconds.
        repeats: Whether the worker then starts the task again by itself, which
            violates the guarantees.
    """

    digit: str = ''
    restart_s: float = 0
    repeats: bool = False

    def includes(self, task):
        """Return whether a task is deadly: the first one of such a job."""
        job, _, index = task.partition('.')
        return bool(self.digit) and job[-1] == self.digit and index == '0.0.0'


class WorkerServer:
    """HTTP server of one worker.

    Attributes:
        entry: Entry of the worker in the store.
        listener: Accepts its connections.
        is_unresponsive: Whether requests get no response.
        twin: Another worker that starts the same tasks, which violates the
            guarantees.
    """

    def __init__(self, *, sim_worker, history, entry):
        self.sim_worker = sim_worker
        self.history = history
        self.entry = entry
        self.listener = None
        self.is_unresponsive = False
        self.twin = None

    def handle_request(self, request):
        """Handle an order or a status poll."""
        if not self.sim_worker.is_up:
            request.connection.transport.abortConnection()
            return
        if self.is_unresponsive:
            return
        body = json.loads(request.body)
        token = values.Token(body['FencingToken'])
        match request.path:
            case '/guavaroad/run-start':
                self.start(request, body, token)
            case '/guavaroad/run-stop':
                order = pool.StopOrder(
                    task=body['Task'], number=body['Run'], token=token
                )
                self.answer(request, self.sim_worker.stop(order))
            case '/guavaroad/hold':
                poll = pool.StatusPoll(
                    token=token,
                    last_end_position=body.get('LastSeen', 0),
                    until_ms=body.get('UntilMs'),
                    wait_ms=body.get('WaitMs', 0),
                )
                self.sim_worker.poll_status(
                    poll, lambda outcome: self.answer(request, outcome)
                )

    def start(self, request, body, token):
        """Start a task; the payload is its run time in milliseconds."""
        task = body['Task']
        self.history.cpu[task] = TASK_CPU_MILLIS
        self.history.work_s[task] = float(body['TaskSpec']) / 1000
        order = pool.StartOrder(
            task=task,
            number=body['Run'],
            payload='',
            until_ms=body['UntilMs'],
            token=token,
        )
        outcome = self.sim_worker.start(order)
        if self.twin is not None:
            self.twin.start(order)
        self.record_late_start(task)
        if self.sim_worker.faults.delay_orders_s:
            return
        self.answer(request, outcome)

    def crash(self):
        """Crash the worker and reset its connections."""
        self.sim_worker.crash()
        for connection in tuple(self.listener.connections):
            connection.transport.abortConnection()

    def record_late_start(self, task):
        """Record a start too long after the start of the drain."""
        name = self.sim_worker.worker_info.worker_id
        now_s = time.monotonic()
        since_s = self.history.draining.get(name, now_s)
        if now_s - since_s > DRAIN_LIMIT_S:
            self.history.late_starts.append((name, task, since_s, now_s))

    def answer(self, request, outcome):
        """Send an outcome in the wire format."""
        match outcome:
            case outcomes.Accepted():
                respond(request, 200, {'ClockMs': outcome.clock_ms})
            case outcomes.Refused():
                reason = REASONS[outcome.reason]
                respond(
                    request,
                    409,
                    {'ClockMs': outcome.clock_ms, 'Reason': reason},
                )
            case outcomes.RunReport():
                respond(request, 200, encode_report(outcome))


def encode_report(report):
    """Return a run report in the wire format."""
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
    """The store, the workers and the control port.

    Attributes:
        started_s: Time of every start.
        deadly: Tasks that crash the workers that start them.
    """

    def __init__(self, *, workers, zones):
        self.timers = reactor_timers.ReactorTimers(clock=reactor)
        self.history = pool_worker.RunHistory()
        self.history.on_start = self.on_start
        self.started_s = []
        self.deadly = DeadlyTasks()
        self.store = Store()
        self.worker_servers = {}
        self.ports = []
        self.listen(self.new_listener(self.store.handle_request))
        self.listen(self.new_listener(self.control))
        for number in range(workers):
            zone = zones[number % len(zones)]
            self.add_worker(number, zone)

    def new_listener(self, handler):
        """Return a listener that passes requests to a handler."""
        return http_listener.HttpListener(
            handler=handler,
            bounds=http_listener.Bounds(idle_timeout_s=3600),
            timer_service=self.timers,
        )

    def listen(self, listener):
        """Listen on a free port."""
        port = reactor.listenTCP(0, listener, interface=HOST)
        self.ports.append(port.getHost().port)
        return self.ports[-1]

    def add_worker(self, number, zone):
        """Add a worker and its entry in the store."""
        worker_info = pool_worker.worker_info_of(number, zone=zone)
        sim_worker = pool_worker.SimWorker(
            clock=reactor, worker_info=worker_info, history=self.history
        )
        if number % 3 == 0:
            sim_worker.faults.clock_rate = SLOW_CLOCK_RATE
        server = WorkerServer(
            sim_worker=sim_worker, history=self.history, entry={}
        )
        server.listener = self.new_listener(server.handle_request)
        port = self.listen(server.listener)
        server.entry = entry_of(worker_info, port)
        self.worker_servers[worker_info.worker_id] = server
        self.write_entry(server)

    def write_entry(self, server, **changes):
        """Write the entry of a worker to the store."""
        server.entry |= changes
        name = server.sim_worker.worker_info.worker_id
        self.store.put_json('servers', name, server.entry)

    def restart_worker(self, server):
        """Crash a worker and start a new incarnation with the same id."""
        server.crash()
        started_ms = server.sim_worker.worker_info.started_ms + 1000
        worker_info = dataclasses.replace(
            server.sim_worker.worker_info, started_ms=started_ms
        )
        faults = server.sim_worker.faults
        server.sim_worker = pool_worker.SimWorker(
            clock=reactor, worker_info=worker_info, history=self.history
        )
        server.sim_worker.faults = faults
        server.sim_worker.clock_start_s = reactor.seconds()
        self.write_entry(server, born=started_ms)

    def on_start(self, task):
        """Record the time of a start; crash the worker if it is deadly."""
        self.started_s.append(time.monotonic())
        if self.deadly.includes(task):
            server = self.worker_servers[self.history.starts[-1][-1]]
            reactor.callLater(
                CRASH_DELAY_S, self.crash_worker, server, task, self.deadly
            )

    def crash_worker(self, server, task, deadly):
        """Crash the worker that runs a deadly task; restart it later."""
        if task in server.sim_worker.running:
            server.crash()
            reactor.callLater(
                deadly.restart_s, self.revive_worker, server, task, deadly
            )

    def revive_worker(self, server, task, deadly):
        """Restart a crashed worker, unless it is back already."""
        if server.sim_worker.is_up:
            return
        self.restart_worker(server)
        if deadly.repeats:
            until_ms = server.sim_worker.clock_ms() + LEASE_MS
            order = pool.StartOrder(
                task=task,
                number=1,
                payload='',
                until_ms=until_ms,
                token=values.Token(0),
            )
            server.sim_worker.start(order)

    def drain_worker(self, server, *, is_announced=True):
        """Drain a worker, with or without an update of its entry."""
        self.history.draining[server.sim_worker.worker_info.worker_id] = (
            time.monotonic()
        )
        if is_announced:
            self.write_entry(server, State='draining')

    def refill_worker(self, server):
        """End the drain of a worker by a restart."""
        self.history.draining.pop(server.sim_worker.worker_info.worker_id, None)
        self.restart_worker(server)
        self.write_entry(server, State='ready')

    def control(self, request):
        """Handle a request to the control port."""
        match request.path:
            case '/state':
                respond(request, 200, self.state())
            case '/workers':
                respond(request, 200, self.worker_ports())
            case _:
                self.execute(request.path, json.loads(request.body))
                respond(request, 200, {})

    def execute(self, path, command):
        """Execute a control command."""
        match path:
            case '/store':
                self.store.change(**command)
            case '/address':
                server = self.worker_servers[command['id']]
                self.write_entry(server, Address=command['address'])
            case '/config':
                self.store.put_json('op', 'config', command)
            case '/entry':
                name = f'strange-{self.store.version}'
                self.store.put_json('servers', name, command)
            case '/row':
                self.put_text(**command)
            case '/deadly':
                self.deadly = DeadlyTasks(**command)
            case _:
                self.execute_on_worker(path, command)

    def execute_on_worker(self, path, command):
        """Execute a control command about a worker."""
        match path:
            case '/worker':
                self.change_worker(command)
            case '/added-worker':
                self.add_worker(**command)

    def put_text(self, table, key, text, part=''):
        """Write a row with any text."""
        value = base64.b64encode(text.encode()).decode()
        self.store.put(table, part, key, value)

    def state(self):
        """Return what the workers have received, and the violations."""
        return {
            'starts': self.history.starts,
            'started_s': self.started_s,
            'done': sorted(self.history.done),
            'failures': self.history.failures,
            'crashes': self.history.crashes,
            'late_starts': self.history.late_starts,
            'broken': self.history.violations,
            'writes': self.store.writes,
            'holder': self.allocator_row(),
        }

    def worker_ports(self):
        """Return the port of each worker, by id."""
        return {
            name: int(server.entry['Address'].rpartition(':')[2])
            for name, server in self.worker_servers.items()
        }

    def change_worker(self, command):
        """Set the faults of a worker; those not given are removed."""
        server = self.worker_servers[command['id']]
        server.is_unresponsive = command.get('silent', False)
        faults = server.sim_worker.faults
        faults.fails = command.get('fails', False)
        faults.hangs = command.get('hangs', False)
        faults.slowdown = command.get('pace', 1)
        twin = self.worker_servers.get(command.get('twin'))
        server.twin = twin and twin.sim_worker
        self.change_state(server, command.get('life'))

    def change_state(self, server, change):
        """Restart or drain a worker, end its drain, or falsify its entry."""
        match change:
            case 'restart':
                self.restart_worker(server)
            case 'drain':
                self.drain_worker(server)
            case 'drain unsaid':
                self.drain_worker(server, is_announced=False)
            case 'refill':
                self.refill_worker(server)
            case 'overstate':
                capacity = {
                    'Cpu': 4 * server.sim_worker.worker_info.capacity.cpu
                }
                self.write_entry(server, Capacity=capacity | {'MemMb': 1000})

    def allocator_row(self):
        """Return the value of the allocator's row; none if there is no row."""
        for name, (text, _) in self.store.rows.items():
            if name[1:] == ('allocation', 'holder'):
                return json.loads(base64.b64decode(text))
        return None


def entry_of(worker_info, port):
    """Return the initial entry of a worker."""
    return {
        'Service': 'pool',
        'Address': f'{HOST}:{port}',
        'Zone': worker_info.zone,
        'Version': 'v1',
        'Slots': 8,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Capacity': {'Cpu': worker_info.capacity.cpu, 'MemMb': 1000},
        'Labels': list(worker_info.labels),
        'Sequence': 1,
        'born': worker_info.started_ms,
    }


def main():
    """Serve, and print the ports of the store and the control port."""
    workers, zones = int(sys.argv[1]), sys.argv[2].split(',')
    standin = Standin(workers=workers, zones=zones)
    sys.stdout.write(f'{standin.ports[0]} {standin.ports[1]}\n')
    sys.stdout.flush()
    reactor.run()


if __name__ == '__main__':
    main()
