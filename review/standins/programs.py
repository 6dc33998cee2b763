"""The project's own programs, as processes on loopback addresses."""

import asyncio
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

from standins import client

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_LIMIT_S = 20
READY_CHECK_S = 0.1
OK = 200
SETTINGS = """
NodeName = "{name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "kigali"
InternalPorts = [{ports[2]}, {ports[3]}]
Seeds = []
Bootstrap = {first}
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = [
  "base","drain","config","cost","recover",
  "sched","platform","advice","upkeep","sharing",
]
Orders = "call"
[Zones]
kg-nyarugenge = "kigali"
kg-gasabo = "kigali"
kg-kicukiro = "kigali"
[Listen]
Front = "{ip}:{ports[0]}"
Ready = "{ip}:{ports[1]}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = {link_mbps}
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
MaxStretchMs = 5000
RecoveryS = 12
HoldMaxMs = 1000
StopMs = 50
cancel_ms = 3000
visible_ms = 3000
LeaseMs = 3000
ResendMs = 1300
[platform]
Address = "{store}"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxMs = 6.0
PartWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
"""
FIRST_PORT, LAST_PORT = 20_000, 30_000
# Second and third byte of the loopback addresses.
FIRST_BLOCK, LAST_BLOCK = 60, 220
ZONES = ('kg-nyarugenge', 'kg-gasabo', 'kg-kicukiro')
# Front, ready and inner ports, with the last inner one.
PORT_OFFSETS = (0, 1, 2, 3)


def free_base(hosts):
    """Return a port after which the ports of a node are free on all hosts."""
    while True:
        base = random.randint(FIRST_PORT, LAST_PORT)
        if all(is_free(host, base) for host in hosts):
            return base


def format_host(block, number):
    """Return a loopback address."""
    numbers = (127, *block, number + 1)
    return '.'.join(map(str, numbers))


def is_free(host, base):
    """Return whether the ports of a node are free on one host."""
    for offset in PORT_OFFSETS:
        with socket.socket() as probe:
            try:
                probe.bind((host, base + offset))
            except OSError:
                return False
    return True


class Programs:
    """Processes of the program, one for each node.

    Attributes:
        fronts: Addresses for clients.
        children: Processes by node.
    """

    def __init__(self, *, count, store, link_mbps):
        block = (
            random.randint(FIRST_BLOCK, LAST_BLOCK),
            random.randint(FIRST_BLOCK, LAST_BLOCK),
        )
        self.hosts = [format_host(block, number) for number in range(count)]
        self.base = free_base(self.hosts)
        self.store_address = store
        self.link_mbps = link_mbps
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='guavaroad-case-'))
        self.fronts = [(host, self.base) for host in self.hosts]
        self.children = {}
        deploy = ROOT.joinpath('deploy', 'system.toml').read_text()
        self.role = tomllib.loads(deploy)['roles']['entry']

    def start_all(self):
        """Start the process of every node."""
        for host in self.hosts:
            self.start(host)

    def start(self, host, *, first=True):
        """Start the process of a node with the command of the deploy file."""
        number = self.hosts.index(host)
        name = f'front-{number}'
        settings = self.folder.joinpath(f'{name}.toml')
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=host,
                zone=ZONES[number % len(ZONES)],
                first=str(first).lower(),
                ports=[self.base + offset for offset in PORT_OFFSETS],
                store=self.store_address,
                link_mbps=self.link_mbps,
            )
        )
        with settings.with_suffix('.log').open('ab') as log:
            self.children[host] = subprocess.Popen(
                shlex.split(self.role['run']),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT.joinpath('target', 'deps')),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'GUAVAROAD_SETTINGS': str(settings),
                    **self.role['env'],
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def is_ready(self, host):
        """Return whether a node reports itself ready."""
        status, _ = await client.request(
            (host, self.base + 1), 'GET', '/guavaroad/ready'
        )
        return status == OK

    async def wait_ready(self):
        """Wait until every node is ready; return whether all are in time."""
        waiting = list(self.hosts)
        for _ in range(int(READY_LIMIT_S / READY_CHECK_S)):
            waiting = [
                host for host in waiting if not await self.is_ready(host)
            ]
            if not waiting:
                return True
            await asyncio.sleep(READY_CHECK_S)
        return False

    def signal(self, host, number):
        """Send a signal to the process of a node."""
        self.children[host].send_signal(number)

    def kill(self, host):
        """Kill the process of a node, and wait for its end."""
        child = self.children[host]
        child.send_signal(signal.SIGKILL)
        child.wait()

    def close(self):
        """End every process that was started here, and drop its files."""
        for host, child in self.children.items():
            if child.poll() is None:
                self.kill(host)
        shutil.rmtree(self.folder, ignore_errors=True)
