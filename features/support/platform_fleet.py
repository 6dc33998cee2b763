"""Real processes of the users' program against the stand-in platform."""

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import select
import signal
import subprocess
import sys
import tempfile
import time
from concurrent import futures
from http import client

from support import platform_requests

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
FRONT_PORT = 21001
READY_PORT = 21002
ASK_TIMEOUT_S = 10
SETTINGS = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "{zone}"
InternalPorts = [21003, 21010]
New = "left alone"
[Listen]
Front = "{ip}:21001"
Ready = "{ip}:21002"
[Bounds]
GraceS = 6
[platform]
Address = "{store}"
"""
PROXIED = 1000
# Clients at once: those of two processes that stand still wait 10 s each.
CLIENTS = 200
METRICS_PORT = 19105
METRICS_PORT_VARIABLE = 'GUAVAROAD_METRICS_PORT'
PEER_ADDRESS_VARIABLE = 'GUAVAROAD_PEER_ADDRESS'


def own_addresses():
    """Yield loopback addresses that no other fleet of this machine uses.

    Free ports of one address can be taken between their choice and their use.
    """
    high, low = divmod(os.getpid(), 250)
    for number in itertools.count(1):
        yield f'127.{20 + high % 200}.{1 + low}.{number % 250 + 1}'


ADDRESSES = own_addresses()


def ask(address, method, path, document=None, headers=()):
    """Make one request; return status, headers and body."""
    body = None if document is None else json.dumps(document)
    line = client.HTTPConnection(*address, timeout=ASK_TIMEOUT_S)
    with contextlib.closing(line):
        line.request(method, path, body, dict(headers))
        answer = line.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What a client was told, or that it was told nothing.

    Attributes:
        job_id: Id of the job.
        path: Where it was sent.
        tasks: Tasks of the job.
        status: Status; 0 where the line ended without a whole answer.
        body: Body, or why there is none.
        process: Name of the process.
        incarnation: Number of the process's life.
        sent_s: When it was sent.
        ended_s: When the answer or the end of the line came.
    """

    job_id: str
    path: str
    tasks: int
    status: int
    body: bytes
    process: str
    incarnation: int
    sent_s: float
    ended_s: float


class Process:
    """One process of the program.

    Attributes:
        front: Where its clients connect.
        incarnation: How often it was started.
        started_s: When it was last started.
        routes: Proxied ways by name, if it has such.
        connections: Open connections of clients that wait for nothing.
    """

    def __init__(self, *, fleet, name, zone, ip=None):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.ip = ip or next(ADDRESSES)
        self.front = (self.ip, FRONT_PORT)
        self.ready = (self.ip, READY_PORT)
        self.routes = {}
        self.connections = []
        self.environment = {METRICS_PORT_VARIABLE: str(METRICS_PORT)}
        store = (HOST, fleet.store_port)
        if fleet.proxy is not None:
            store = self.proxied('store', (self.ip, 23009), store)
            self.front = self.proxied('front', self.near(21001), self.front)
            peers = self.proxied('peers', self.near(21003), (self.ip, 21003))
            self.environment[PEER_ADDRESS_VARIABLE] = told(peers)
        self.settings = fleet.folder / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(name=name, zone=zone, ip=self.ip, store=told(store))
        )
        self.log = fleet.folder / f'{name}.log'
        self.child = None
        self.started_s = 0
        self.incarnation = 0
        self.start()

    def near(self, port):
        """Return the address that is proxied for a port."""
        return (self.ip, port + PROXIED)

    def proxied(self, name, listen, target):
        """Lead an address through the proxy."""
        self.routes[name] = self.fleet.proxy.add(listen, target)
        return listen

    def start(self):
        """Start the process."""
        self.incarnation += 1
        self.started_s = time.monotonic()
        with self.log.open('ab') as log:
            self.child = subprocess.Popen(
                [sys.executable, '-m', 'guavaroad_platform'],
                env=os.environ
                | {'GUAVAROAD_SETTINGS': str(self.settings)}
                | self.environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal."""
        self.child.send_signal(number)

    def lines(self):
        """Return the structured lines that it has written."""
        return [
            json.loads(line)
            for line in self.log.read_text().splitlines()
            if line.startswith('{')
        ]

    def is_ready(self):
        """Return whether it takes connections."""
        try:
            return ask(self.ready, 'GET', '/guavaroad/ready')[0] == 200
        except OSError:
            return False


def told(address):
    """Return an address as the settings have it."""
    return f'{address[0]}:{address[1]}'


def take_line(process):
    """Return an open connection to a process, or a new one."""
    while process.connections:
        line = process.connections.pop()
        # Unlike `select`, it takes descriptors of any number.
        ready = select.poll()
        ready.register(line.sock, select.POLLIN)
        if not ready.poll(0):
            return line
        line.close()
    return client.HTTPConnection(*process.front, timeout=ASK_TIMEOUT_S)


class PlatformFleet:
    """The stand-in, some processes, and clients.

    Attributes:
        proxy: Stands between all of them, if there is one.
        worker_routes: Proxied ways to the workers, by id.
        answers: What clients were told.
        submissions: Clients that hand a job in, or have.
    """

    def __init__(
        self, *, instances, workers, zones=('a', 'b', 'c'), proxy=None
    ):
        self.proxy = proxy
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='guavaroad-'))
        self.standin = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'support.platform_standin',
                str(workers),
                ','.join(zones),
            ],
            cwd=ROOT / 'features',
            stdout=subprocess.PIPE,
            text=True,
        )
        ports = self.standin.stdout.readline().split()
        self.store_port = int(ports[0])
        self.control_address = (HOST, int(ports[1]))
        self.worker_routes = self.lead_to_workers() if proxy else {}
        self.config = platform_requests.config()
        self.control('/config', self.config)
        self.processes = [
            Process(
                fleet=self, name=f'i{number}', zone=zones[number % len(zones)]
            )
            for number in range(instances)
        ]
        self.pool = futures.ThreadPoolExecutor(max_workers=CLIENTS)
        self.answers = []
        self.submissions = []
        self.submitted_count = 0

    def lead_to_workers(self):
        """Lead the addresses of the workers through the proxy."""
        routes = {}
        for name, port in self.control('/workers').items():
            listen = (next(ADDRESSES), port)
            routes[name] = self.proxy.add(listen, (HOST, port))
            self.control('/address', {'id': name, 'address': told(listen)})
        return routes

    def control(self, path, document=None):
        """Ask the stand-in's control page."""
        method = 'GET' if document is None else 'POST'
        return json.loads(ask(self.control_address, method, path, document)[2])

    def wait_ready(self, limit_s=20):
        """Wait until every process takes connections."""
        ended_s = time.monotonic() + limit_s
        while True:
            waiting = [one.name for one in self.processes if not one.is_ready()]
            if not waiting:
                return
            assert time.monotonic() < ended_s, f'{waiting} not ready in time'
            time.sleep(0.1)

    def allocating_process(self):
        """Return the process that allocates, if there is one."""
        row = self.control('/state')['holder'] or {}
        name = row.get('holder')
        found = (one for one in self.processes if one.name == name)
        return next(found, None)

    def submit(
        self, process, *, tasks=2, work_ms=100, urgency=1, job=None, queue=None
    ):
        """Hand a job in from a thread of its own."""
        self.submitted_count += 1
        job_id = job or f'{self.submitted_count:016x}'
        path = f'/{queue or f"q{urgency}"}/{job_id}'
        sending = self.pool.submit(
            self.hand_in, process, job_id, path, tasks, work_ms
        )
        self.submissions.append(sending)
        return sending

    def hand_in(self, process, job_id, path, tasks, work_ms):
        """Hand a job in on an open connection, and keep its answer."""
        document = platform_requests.good_job(
            TaskSpec=str(work_ms),
            Steps=[{'Count': tasks, 'Cpu': 14_000, 'EstimateMs': work_ms}],
        )
        life = process.incarnation
        line = take_line(process)
        sent_s = time.monotonic()
        try:
            line.request(
                'POST', path, json.dumps(document), platform_requests.headers()
            )
            answer = line.getresponse()
            status, body = answer.status, answer.read()
        except (OSError, client.HTTPException) as error:
            status, body = 0, repr(error).encode()
        ended_s = time.monotonic()
        if status and line.sock is not None:
            process.connections.append(line)
        else:
            line.close()
        self.answers.append(
            Answer(
                job_id=job_id,
                path=path,
                tasks=tasks,
                status=status,
                body=body,
                process=process.name,
                incarnation=life,
                sent_s=sent_s,
                ended_s=ended_s,
            )
        )
        return status

    def load(self, seconds, per_s, **job):
        """Hand jobs in at a steady rate, at the processes that are up."""
        ended_s = time.monotonic() + seconds
        while time.monotonic() < ended_s:
            alive = [one for one in self.processes if one.child.poll() is None]
            self.submit(alive[self.submitted_count % len(alive)], **job)
            time.sleep(1 / per_s)

    def starts(self):
        """Return the number of starts that the workers saw."""
        return len(self.control('/state')['starts'])

    def stop(self):
        """End everything that was started here."""
        if self.proxy is not None:
            self.proxy.close()
        self.pool.shutdown(wait=True)
        for one in self.processes:
            if one.child.poll() is None:
                one.signal(signal.SIGCONT)
                one.signal(signal.SIGKILL)
            one.child.wait()
        self.standin.kill()
        self.standin.wait()
