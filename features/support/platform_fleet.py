"""Starts processes of the platform program against a stand-in platform."""

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
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
REQUEST_TIMEOUT_S = 10
SETTINGS = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "{zone}"
InternalPorts = [21003, 21010]
New = "unknown fields are ignored"
[Listen]
Front = "{ip}:21001"
Ready = "{ip}:21002"
[Limits]
LinkMbps = {link_mbps}
{limits}
[Bounds]
GraceS = 6
[platform]
Address = "{store}"
"""
PROXY_PORT_OFFSET = 1000
# With the larger link the allocator calls all workers itself; with the smaller
# one every instance is a worker agent.
LARGE_LINK_MBPS = 100
SMALL_LINK_MBPS = 1
# Concurrent clients. The clients of two suspended processes wait for 10 s each.
MAX_CLIENTS = 200
# A client sends a job again so long after one of these statuses; 0 stands for
# no response.
RESEND_DELAY_S = 1.3
RESENT_STATUSES = frozenset((0, 502, 504))
METRICS_PORT = 19105
METRICS_PORT_VARIABLE = 'GUAVAROAD_METRICS_PORT'
PEER_ADDRESS_VARIABLE = 'GUAVAROAD_PEER_ADDRESS'


def own_addresses():
    """Yield loopback addresses that no other fleet on this machine uses.

    Free ports of a shared address could be taken by others between the choice
    of a port and its use.
    """
    high, low = divmod(os.getpid(), 250)
    for number in itertools.count(1):
        yield f'127.{20 + high % 200}.{1 + low}.{number % 250 + 1}'


ADDRESSES = own_addresses()


def send_request(address, method, path, document=None, headers=()):
    """Send a request; return status, headers and body of the response.

    Args:
        address: Host and port of the server.
        method: HTTP method.
        path: Path and query.
        document: Body as bytes, or to be encoded as JSON; none for no body.
        headers: Headers.
    """
    body = document
    if document is not None and not isinstance(document, bytes):
        body = json.dumps(document)
    connection = client.HTTPConnection(*address, timeout=REQUEST_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request(method, path, body, dict(headers))
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The response that a client got, or the lack of one.

    Attributes:
        job_id: Id of the job.
        path: Path of the request.
        tasks: Number of tasks of the job.
        attempt: How often the client has sent the job, with this time.
        status: HTTP status; 0 if there was no complete response.
        body: Body, or the error if there was no response.
        process: Name of the process that it was sent to.
        incarnation: Incarnation of that process.
        sent_s: When the request was sent.
        ended_s: When the response or the error arrived.
        opened_s: When its connection was opened.
    """

    job_id: str
    path: str
    tasks: int
    attempt: int
    status: int
    body: bytes
    process: str
    incarnation: int
    sent_s: float
    ended_s: float
    opened_s: float


class Connection(client.HTTPConnection):
    """A connection of a client to a process.

    Attributes:
        opened_s: When it was opened.
    """

    def __init__(self, address):
        super().__init__(*address, timeout=REQUEST_TIMEOUT_S)
        self.opened_s = time.monotonic()


class Process:
    """One process of the program.

    Attributes:
        python: Interpreter that runs it, of this build or another one.
        front: Address for clients.
        ready: Address for readiness checks.
        incarnation: How often it was started.
        started_s: When it was last started.
        routes: Routes through the proxy by name; empty without a proxy.
        connections: Idle connections of clients.
    """

    def __init__(self, *, fleet, name, zone, ip=None, python=sys.executable):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.python = python
        self.ip = ip or next(ADDRESSES)
        self.front = (self.ip, FRONT_PORT)
        self.ready = (self.ip, READY_PORT)
        self.routes = {}
        self.connections = []
        self.environment = {METRICS_PORT_VARIABLE: str(METRICS_PORT)}
        store = (HOST, fleet.store_port)
        if fleet.proxy is not None:
            store = self.add_proxy_route('store', (self.ip, 23009), store)
            self.front = self.add_proxy_route(
                'front', self.proxy_address(21001), self.front
            )
            peers = self.add_proxy_route(
                'peers', self.proxy_address(21003), (self.ip, 21003)
            )
            self.environment[PEER_ADDRESS_VARIABLE] = format_address(peers)
        self.settings = fleet.folder / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ip=self.ip,
                store=format_address(store),
                link_mbps=fleet.link_mbps,
                limits=fleet.limits,
            )
        )
        self.log = fleet.folder / f'{name}.log'
        self.child = None
        self.started_s = 0
        self.incarnation = 0
        self.start()

    def proxy_address(self, port):
        """Return the proxy's address for a port of this process."""
        return (self.ip, port + PROXY_PORT_OFFSET)

    def add_proxy_route(self, name, listen, target):
        """Add a route to the proxy; return the address that it listens on."""
        self.routes[name] = self.fleet.proxy.add(listen, target)
        return listen

    def start(self):
        """Start the process."""
        self.incarnation += 1
        self.started_s = time.monotonic()
        with self.log.open('ab') as log:
            self.child = subprocess.Popen(
                [self.python, '-m', 'guavaroad_platform'],
                env=os.environ
                | {'GUAVAROAD_SETTINGS': str(self.settings)}
                | self.environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal."""
        self.child.send_signal(number)

    def log_events(self):
        """Return the structured lines of its log."""
        return [
            json.loads(line)
            for line in self.log.read_text().splitlines()
            if line.startswith('{')
        ]

    def is_ready(self):
        """Return whether its readiness check succeeds."""
        try:
            return send_request(self.ready, 'GET', '/guavaroad/ready')[0] == 200
        except OSError:
            return False


def format_address(address):
    """Return an address as `host:port`."""
    return f'{address[0]}:{address[1]}'


def open_connection(process, *, is_new=False):
    """Return a new connection to a process, or an idle one unless `is_new`."""
    while process.connections and not is_new:
        connection = process.connections.pop()
        # `poll` supports file descriptors above 1023, unlike `select`.
        ready = select.poll()
        ready.register(connection.sock, select.POLLIN)
        if not ready.poll(0):
            return connection
        connection.close()
    return Connection(process.front)


class PlatformFleet:
    """The stand-in platform, processes of the program, and clients.

    Attributes:
        link_mbps: Capacity of each process's link by its settings, in Mbit/s.
        limits: Further lines of the limits in their settings.
        proxy: Proxy for all connections between them, if there is one.
        worker_routes: Routes through the proxy to the workers, by id.
        answers: Responses that clients got.
        submissions: Futures of the submitted jobs.
        submitted_count: Number of submitted jobs.
        resends: How often clients send a job again that has no result.
    """

    def __init__(
        self,
        *,
        instances,
        workers,
        zones=('a', 'b', 'c'),
        proxy=None,
        pythons=(sys.executable,),
        link_mbps=LARGE_LINK_MBPS,
        limits='',
    ):
        self.link_mbps = link_mbps
        self.limits = limits
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
        self.worker_routes = self.route_workers() if proxy else {}
        self.config = platform_requests.config()
        self.control('/config', self.config)
        self.processes = [
            Process(
                fleet=self,
                name=f'i{number}',
                zone=zones[number % len(zones)],
                python=pythons[number % len(pythons)],
            )
            for number in range(instances)
        ]
        self.pool = futures.ThreadPoolExecutor(max_workers=MAX_CLIENTS)
        self.answers = []
        self.submissions = []
        self.submitted_count = 0
        self.resends = 0
        # Separate from the faults, which a seed draws in a fixed order.
        self.resend_random = random.Random(0)

    def route_workers(self):
        """Add routes through the proxy to the workers."""
        routes = {}
        for name, port in self.control('/workers').items():
            listen = (next(ADDRESSES), port)
            routes[name] = self.proxy.add(listen, (HOST, port))
            self.control(
                '/address', {'id': name, 'address': format_address(listen)}
            )
        return routes

    def control(self, path, document=None):
        """Send a request to the stand-in's control port."""
        method = 'GET' if document is None else 'POST'
        return json.loads(
            send_request(self.control_address, method, path, document)[2]
        )

    def wait_ready(self, limit_s=20):
        """Wait until every process is ready."""
        ended_s = time.monotonic() + limit_s
        while True:
            waiting = [
                process.name
                for process in self.processes
                if not process.is_ready()
            ]
            if not waiting:
                return
            assert time.monotonic() < ended_s, f'{waiting} not ready in time'
            time.sleep(0.1)

    def allocating_process(self):
        """Return the process that allocates, if there is one."""
        row = self.control('/state')['holder'] or {}
        name = row.get('holder')
        matching = (
            process for process in self.processes if process.name == name
        )
        return next(matching, None)

    def submit(
        self, process, *, tasks=2, work_ms=100, urgency=1, job=None, queue=None
    ):
        """Submit a job in a thread of its own; return the future."""
        self.submitted_count += 1
        job_id = job or f'{self.submitted_count:016x}'
        path = f'/{queue or f"q{urgency}"}/{job_id}'
        submission = self.pool.submit(
            self.send_job, process, job_id, path, tasks, work_ms
        )
        self.submissions.append(submission)
        return submission

    def send_job(self, process, job_id, path, tasks, work_ms):
        """Send a job, again while it has no result; return the last status."""
        status = self.send_attempt(process, job_id, path, tasks, work_ms)
        for attempt in range(2, self.resends + 2):
            if status not in RESENT_STATUSES:
                break
            time.sleep(RESEND_DELAY_S)
            process = self.resend_random.choice(self.live_processes())
            status = self.send_attempt(
                process, job_id, path, tasks, work_ms, attempt=attempt
            )
        return status

    def send_attempt(self, process, job_id, path, tasks, work_ms, *, attempt=1):
        """Send a job once, and record the response."""
        document = platform_requests.valid_job(
            TaskSpec=str(work_ms),
            Steps=[{'Count': tasks, 'Cpu': 14_000, 'EstimateMs': work_ms}],
        )
        incarnation = process.incarnation
        connection = open_connection(process, is_new=attempt > 1)
        sent_s = time.monotonic()
        try:
            connection.request(
                'POST', path, json.dumps(document), platform_requests.headers()
            )
            answer = connection.getresponse()
            status, body = answer.status, answer.read()
        except (OSError, client.HTTPException) as error:
            status, body = 0, repr(error).encode()
        ended_s = time.monotonic()
        if status and connection.sock is not None:
            process.connections.append(connection)
        else:
            connection.close()
        self.answers.append(
            Answer(
                job_id=job_id,
                path=path,
                tasks=tasks,
                attempt=attempt,
                status=status,
                body=body,
                process=process.name,
                incarnation=incarnation,
                sent_s=sent_s,
                ended_s=ended_s,
                opened_s=connection.opened_s,
            )
        )
        return status

    def load(self, seconds, per_s, *, at=(), **job):
        """Submit jobs at a constant rate to some processes in turn.

        Args:
            seconds: Duration.
            per_s: Jobs per second.
            at: The processes; by default all live ones.
            job: Parameters of each job.
        """
        ended_s = time.monotonic() + seconds
        while time.monotonic() < ended_s:
            live_processes = at or self.live_processes()
            self.submit(
                live_processes[self.submitted_count % len(live_processes)],
                **job,
            )
            time.sleep(1 / per_s)

    def live_processes(self):
        """Return the processes that run."""
        return [
            process
            for process in self.processes
            if process.child.poll() is None
        ]

    def starts(self):
        """Return the number of starts that the workers have received."""
        return len(self.control('/state')['starts'])

    def stop(self):
        """Stop the processes, the stand-in and the proxy."""
        if self.proxy is not None:
            self.proxy.close()
        self.pool.shutdown(wait=True)
        for process in self.processes:
            if process.child.poll() is None:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
            process.child.wait()
        self.standin.kill()
        self.standin.wait()
