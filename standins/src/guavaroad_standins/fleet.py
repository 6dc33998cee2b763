"""A fleet of real processes: platform stand-in, upstreams, instances."""

import dataclasses
import pathlib
import sys
import tempfile
from http import HTTPStatus, client
from typing import Any, Final

import msgspec

from guavaroad_standins import calls, ports, processes

HOST: Final = '127.0.0.1'
OPERATOR_TOKEN: Final = 'operator-secret'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """Size and settings of a fleet.

    Attributes:
        zones: Availability zones.
        instances_per_zone: Number of entry instances per zone.
        upstreams_per_zone: Number of upstreams per zone; the upstreams of a
            zone share one process.
        slots: Number of slots of each upstream.
        teams: Teams, each with the token `<team>-secret`.
        settings: Sections that replace those of the default settings.
    """

    zones: tuple[str, ...] = ('zone-a', 'zone-b')
    instances_per_zone: int = 1
    upstreams_per_zone: int = 2
    slots: int = 8
    teams: tuple[str, ...] = ('office', 'rival')
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class EntryInstance:
    """An entry instance of the fleet.

    Attributes:
        name: Name in the fleet.
        zone: Availability zone.
        address: `ip:port` for clients.
        peer_address: `ip:port` for the other instances.
        settings_path: Settings file.
        python: Interpreter that runs it, of this build or another one.
        process: Its process; none before the start.
    """

    name: str
    zone: str
    address: str
    peer_address: str
    settings_path: pathlib.Path
    python: str = sys.executable
    process: processes.Process | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetUpstream:
    """An upstream of the fleet."""

    name: str
    zone: str
    address: str


class Fleet:
    """Starts and stops the processes of a plan."""

    def __init__(self, *, plan: FleetPlan) -> None:
        self.plan = plan
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='guavaroad-'))
        self.platform_address = _free_address()
        self.running: list[processes.Process] = []
        self.upstreams = [
            FleetUpstream(
                name=f'{zone}-up-{number}', zone=zone, address=_free_address()
            )
            for zone in plan.zones
            for number in range(plan.upstreams_per_zone)
        ]
        self.instances = [
            self.plan_instance(zone, number)
            for zone in plan.zones
            for number in range(plan.instances_per_zone)
        ]

    def __enter__(self) -> 'Fleet':
        """Return the fleet without starting it."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill every process that this fleet started."""
        self.stop()

    def plan_instance(self, zone: str, number: int) -> EntryInstance:
        """Return a new instance with free addresses."""
        name = f'{zone}-entry-{number}'
        return EntryInstance(
            name=name,
            zone=zone,
            address=_free_address(),
            peer_address=_free_address(),
            settings_path=self.folder / f'{name}.yaml',
        )

    def start(self) -> None:
        """Start all processes and wait until every instance is ready."""
        self.start_platform()
        self.publish_list()
        for zone in self.plan.zones:
            self.start_upstreams(zone)
        for instance in self.instances:
            self.start_instance(instance)
        for instance in self.instances:
            self.wait_ready(instance)

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it answers."""
        port = port_of(self.platform_address)
        self.spawn(
            'platform',
            ['-m', 'guavaroad_standins.platform', f'--port={port}'],
        )
        wait_until_ok(self.platform_address, '/admin/counters')

    def start_upstreams(self, zone: str) -> None:
        """Start one process with the upstreams of a zone."""
        upstreams = [
            upstream for upstream in self.upstreams if upstream.zone == zone
        ]
        port_list = ','.join(
            port_of(upstream.address) for upstream in upstreams
        )
        slots = self.plan.slots
        self.spawn(
            f'{zone}-upstreams',
            [
                '-m',
                'guavaroad_standins.upstream',
                f'--ports={port_list}',
                f'--slots={slots}',
            ],
        )
        for upstream in upstreams:
            wait_until_ok(upstream.address, '/admin/counters')

    def start_instance(self, instance: EntryInstance) -> None:
        """Start one entry instance."""
        instance.settings_path.write_bytes(
            msgspec.yaml.encode(self.settings_of(instance))
        )
        instance.process = self.spawn(
            instance.name,
            ['-m', 'guavaroad.main', f'--settings={instance.settings_path}'],
            python=instance.python,
        )

    def settings_of(self, instance: EntryInstance) -> dict[str, Any]:
        """Return the settings of an instance."""
        tokens: list[dict[str, Any]] = [
            {'token': f'{team}-secret', 'team': team}
            for team in self.plan.teams
        ]
        tokens.append({'token': OPERATOR_TOKEN, 'operator': True})
        return {
            'instance': {
                'availability_zone': instance.zone,
                'client_address': instance.address,
                'peer_address': instance.peer_address,
            },
            'platform': {'url': f'http://{self.platform_address}'},
            'peers': [
                other.peer_address
                for other in self.instances
                if other is not instance
            ],
            'tokens': tokens,
        } | self.plan.settings

    def publish_list(self) -> None:
        """Publish the instances and upstreams in the platform's list."""
        entries = [
            {
                'availability_zone': instance.zone,
                'address': instance.address,
                'peer_address': instance.peer_address,
            }
            for instance in self.instances
        ]
        upstreams = [
            {
                'name': upstream.name,
                'availability_zone': upstream.zone,
                'pool': 'main',
                'address': upstream.address,
                'slots': self.plan.slots,
            }
            for upstream in self.upstreams
        ]
        calls.call(
            'PUT',
            self.platform_address,
            '/admin/instances',
            body={'entries': entries, 'upstreams': upstreams},
        )

    def starts(self) -> list[str]:
        """Return the ids of the tasks that the upstreams have started."""
        return [
            task
            for upstream in self.upstreams
            for task in calls.call(
                'GET', upstream.address, '/admin/starts'
            ).decoded()
        ]

    def wait_ready(self, instance: EntryInstance) -> None:
        """Wait until an instance is ready."""
        wait_until_ok(instance.address, '/readyz')

    def spawn(
        self, name: str, arguments: list[str], python: str = sys.executable
    ) -> processes.Process:
        """Start a Python process that logs to the fleet's directory."""
        process = processes.Process(
            name=name,
            command=[python, *arguments],
            log=self.folder / f'{name}.log',
        )
        self.running.append(process)
        return process

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        for process in self.running:
            process.end()


def port_of(address: str) -> str:
    """Return the port of `ip:port`."""
    return address.rpartition(':')[2]


def responds_ok(address: str, path: str) -> bool:
    """Return whether a page answers with status 200."""
    try:
        return calls.call('GET', address, path).status == HTTPStatus.OK
    except (OSError, client.HTTPException):
        return False


def wait_until_ok(address: str, path: str) -> None:
    """Wait until a page answers with status 200."""
    processes.wait_until(
        lambda: responds_ok(address, path),
        f'{address}{path} answers with status 200',
    )


def set_faults(address: str, **faults: Any) -> None:
    """Set the faults of a stand-in; those not given are reset."""
    calls.call('PUT', address, '/admin/faults', body=faults)


def _free_address() -> str:
    return f'{HOST}:{ports.free_port()}'
