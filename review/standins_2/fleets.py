"""Processes of the project with the command of its deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tomllib

from standins_2 import partitions, wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30
POLL_S = 0.1
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
BYTES_PER_MB = 1_048_576
CLAIMED = '"event":"token_claimed"'
# The ports of a node: front, ready, internal, metrics.
PORTS = 4
SETTINGS = """
NodeName = "{name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "region"
InternalPorts = [{internal}, {internal}]
Seeds = []
Bootstrap = true
CountsAsLoss = false
HeartbeatMs = 1500
Orders = "call"
[Zones]
zone-a = "region"
zone-b = "region"
[Listen]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
HoldMaxMs = 1000
StopMs = 50
cancel_ms = 3000
ResendMs = 1300
[platform]
Address = "127.0.0.1:{store}"
form = "table"
"""


class CannotRunError(Exception):
    """The case could not run."""


class Node:
    """One process of the project.

    Attributes:
        name: Name of its machine.
        zone: Its zone.
        front: Port for clients.
        ready: Port for readiness checks.
        child: The process.
        settings: Its settings file.
        peer_address: Address that other nodes dial.
        starts: How often it was started.
        log: Log of the process.
    """

    def __init__(self, *, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        ports = free_ports(PORTS)
        self.front = ports[0]
        self.ready = ports[1]
        self.internal = ports[2]
        self.metrics = ports[3]
        self.child: subprocess.Popen | None = None
        self.settings = pathlib.Path()
        self.peer_address = ''
        self.starts = 0
        self.log = pathlib.Path()

    async def start(
        self,
        *,
        folder: pathlib.Path,
        store_port: int,
        partition: partitions.Partition,
    ) -> None:
        """Start the process; others reach it through a proxy."""
        peers = wire.Proxy(
            zone=self.zone, partition=partition, target=self.internal
        )
        await peers.start()
        settings = folder / f'{self.name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                internal=self.internal,
                front=self.front,
                ready=self.ready,
                store=store_port,
            )
        )
        self.settings = settings
        self.peer_address = f'{wire.HOST}:{peers.port}'
        self.respawn()
        partition.zones[self.process_id()] = self.zone

    def respawn(self) -> None:
        """Start the process, with a log beside its settings."""
        self.starts += 1
        self.log = self.settings.with_suffix(f'.{self.starts}.log')
        with self.log.open('ab') as log:
            self.child = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': 'target/deps',
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'GUAVAROAD_SETTINGS': str(self.settings),
                    'GUAVAROAD_METRICS_PORT': str(self.metrics),
                    'GUAVAROAD_PEER_ADDRESS': self.peer_address,
                },
                stdout=log,
                stderr=log,
            )

    def process_id(self) -> int:
        """Return the id of the process; 0 if there is none."""
        return 0 if self.child is None else self.child.pid

    def memory_mb(self) -> int:
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            text = pathlib.Path(f'/proc/{self.process_id()}/statm').read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * PAGE_BYTES // BYTES_PER_MB

    def last_token(self) -> int:
        """Return the highest token that the process has claimed, by its log."""
        text = self.log.read_text(errors='replace')
        events = [
            json.loads(line)
            for line in text.splitlines()
            if CLAIMED in line and line.endswith('}')
        ]
        return max((event['token'] for event in events), default=0)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.child is not None:
            self.child.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until its readiness check succeeds."""
        for _ in range(int(READY_TIMEOUT_S / POLL_S)):
            if await self.is_ready():
                return
            await asyncio.sleep(POLL_S)
        raise CannotRunError(f'{self.name} is not ready')

    async def is_ready(self) -> bool:
        """Return whether its readiness check succeeds."""
        path = '/guavaroad/ready'
        try:
            status, _ = await wire.call(self.ready, 'GET', path, None, {})
        except OSError:
            return False
        return status == wire.OK

    def stop(self) -> None:
        """End the process."""
        if self.child is not None:
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()


def deploy_command() -> list[str]:
    """Return the command of the deploy file."""
    text = ROOT.joinpath('deploy/system.toml').read_text()
    return tomllib.loads(text)['roles']['entry']['run'].split()


def free_ports(count: int) -> list[int]:
    """Return free ports."""
    with contextlib.ExitStack() as stack:
        return [
            stack.enter_context(bound_socket()).port() for _ in range(count)
        ]


class PortSocket(socket.socket):
    """A socket that is bound to a free port."""

    def port(self) -> int:
        """Return its port."""
        return self.getsockname()[1]


def bound_socket() -> PortSocket:
    """Return a socket that is bound to a free port."""
    reserved = PortSocket()
    reserved.bind((wire.HOST, 0))
    return reserved
