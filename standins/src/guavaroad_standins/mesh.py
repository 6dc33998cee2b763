"""Membership and configuration of many instances on a simulated clock."""

import dataclasses
from typing import Final

from twisted.internet import task

from guavaroad.adapters import reactor_timers
from guavaroad.domain import identity, names
from guavaroad.ports import peers, platform
from guavaroad.services import configuration, membership
from guavaroad_standins import memory_bus, memory_table

STEP_S: Final = 0.05
_FIRST_PORT: Final = 9000


@dataclasses.dataclass(slots=True, kw_only=True)
class MeshInstance:
    """An instance of the mesh.

    Attributes:
        name: `zone/number`.
        incarnation: Incarnation of its process.
        peer_address: Address on which it receives messages.
        bus: Its peer bus.
        service: Its membership service.
        clock: Its own clock, which does not advance while it is frozen.
        platform: Its connection to the platform.
        configuration: Its configuration service.
    """

    name: str
    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    bus: memory_bus.MemoryBus
    service: membership.MembershipService
    clock: task.Clock
    platform: memory_table.MemoryPlatform
    configuration: configuration.ConfigurationService


class Mesh:
    """Instances of several zones."""

    def __init__(self, *, zones: int, per_zone: int) -> None:
        self.clock = task.Clock()
        self.timers = reactor_timers.ReactorTimers(
            clock=self.clock, wall_clock=self.clock.seconds
        )
        self.network = memory_bus.Network(timer_service=self.timers)
        self.nodes: dict[str, MeshInstance] = {}
        self.rows = memory_table.Rows()
        self.incarnation_count = 0
        for zone in range(zones):
            for number in range(per_zone):
                self.add(f'zone-{zone}/{number}')

    def seeds(self) -> tuple[names.PeerAddress, ...]:
        """Return the peer addresses of all instances."""
        return tuple(node.peer_address for node in self.nodes.values())

    def add(self, name: str) -> MeshInstance:
        """Add an instance, or a new incarnation of an existing one."""
        zone, _, number = name.partition('/')
        port = _FIRST_PORT + int(number)
        self.incarnation_count += 1
        incarnation = identity.Incarnation(
            availability_zone=names.AvailabilityZone(zone),
            address=names.ClientAddress(f'{zone}:{port}'),
            epoch=names.Epoch(f'epoch-{self.incarnation_count}'),
        )
        address = names.PeerAddress(f'{zone}:peer-{port}')
        bus = self.network.attach(incarnation, address)
        clock = task.Clock()
        clock.advance(self.clock.seconds())
        node = self.make_node(name, incarnation, bus, clock)
        self.nodes[name] = node
        return node

    def make_node(
        self,
        name: str,
        incarnation: identity.Incarnation,
        bus: memory_bus.MemoryBus,
        clock: task.Clock,
    ) -> MeshInstance:
        """Return an instance with its services."""
        timers = reactor_timers.ReactorTimers(
            clock=clock, wall_clock=self.clock.seconds
        )
        platform_client = memory_table.MemoryPlatform(
            rows=self.rows, timer_service=timers
        )
        service = membership.MembershipService(
            own=incarnation,
            peer_address=bus.address,
            bus=bus,
            timer_service=timers,
            seeds=self.seeds(),
        )
        return MeshInstance(
            name=name,
            incarnation=incarnation,
            peer_address=bus.address,
            bus=bus,
            clock=clock,
            service=service,
            platform=platform_client,
            configuration=configuration.ConfigurationService(
                table=platform_client,
                directory=platform_client,
                members=service,
                timer_service=timers,
                period_s=1,
            ),
        )

    def start(self) -> None:
        """Start every instance with all instances as seeds."""
        for node in self.nodes.values():
            node.service.settings_seeds = self.seeds()
            node.service.list_changed(
                platform.InstanceList(entries=(), upstreams=())
            )
            node.service.start()
            node.configuration.refresh()
        self.publish()

    def publish(self) -> None:
        """Set the platform's instance list to the running instances."""
        listed = platform.InstanceList(
            entries=tuple(
                platform.ListedInstance(
                    availability_zone=node.incarnation.availability_zone,
                    address=node.incarnation.address,
                    peer_address=node.peer_address,
                )
                for node in self.nodes.values()
            ),
            upstreams=(),
        )
        for node in self.nodes.values():
            node.platform.listed = listed

    def kill(self, name: str) -> MeshInstance:
        """Stop an instance without notifying the others."""
        node = self.nodes.pop(name)
        node.service.stop()
        self.network.detach(node.peer_address)
        return node

    def freeze(self, name: str) -> None:
        """Suspend an instance."""
        self.network.frozen.add(self.nodes[name].peer_address)

    def thaw(self, name: str) -> None:
        """Resume an instance: run its overdue timers and held messages."""
        node = self.nodes[name]
        node.clock.advance(self.clock.seconds() - node.clock.seconds())
        self.network.thaw(node.peer_address)

    def run(self, seconds: float) -> None:
        """Advance the clocks of all instances that are not frozen."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for node in tuple(self.nodes.values()):
                if node.peer_address not in self.network.frozen:
                    lag_s = self.clock.seconds() - node.clock.seconds()
                    node.clock.advance(lag_s)

    def addresses(self, zone: str) -> set[str]:
        """Return the peer addresses of a zone."""
        return {
            node.peer_address
            for name, node in self.nodes.items()
            if name.startswith(zone)
        }

    def states(self, observer: str) -> dict[names.Epoch, peers.PeerState]:
        """Return the peer states seen by one instance, by epoch."""
        return {
            peer.incarnation.epoch: peer.state
            for peer in self.nodes[observer].service.peers()
        }
