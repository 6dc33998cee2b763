"""Membership and configuration of many instances on one fake timer."""

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
class Node:
    """One instance of the mesh.

    Attributes:
        name: `zone/number`.
        incarnation: Its process.
        peer_address: Where it takes messages.
        bus: Its bus.
        service: Its membership.
        clock: Its own clock, which stands still while it is frozen.
        platform: Its way to the platform.
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
        self.nodes: dict[str, Node] = {}
        self.rows = memory_table.Rows()
        self.lives = 0
        for zone in range(zones):
            for number in range(per_zone):
                self.add(f'zone-{zone}/{number}')

    def seeds(self) -> tuple[names.PeerAddress, ...]:
        """Return the peer addresses of all instances."""
        return tuple(node.peer_address for node in self.nodes.values())

    def add(self, name: str) -> Node:
        """Make an instance, or a new process of one that was there."""
        zone, _, number = name.partition('/')
        port = _FIRST_PORT + int(number)
        self.lives += 1
        incarnation = identity.Incarnation(
            availability_zone=names.AvailabilityZone(zone),
            address=names.ClientAddress(f'{zone}:{port}'),
            epoch=names.Epoch(f'epoch-{self.lives}'),
        )
        address = names.PeerAddress(f'{zone}:peer-{port}')
        bus = self.network.attach(incarnation, address)
        clock = task.Clock()
        clock.advance(self.clock.seconds())
        node = self.node(name, incarnation, bus, clock)
        self.nodes[name] = node
        return node

    def node(
        self,
        name: str,
        incarnation: identity.Incarnation,
        bus: memory_bus.MemoryBus,
        clock: task.Clock,
    ) -> Node:
        """Wire one instance."""
        timers = reactor_timers.ReactorTimers(
            clock=clock, wall_clock=self.clock.seconds
        )
        reached = memory_table.MemoryPlatform(
            rows=self.rows, timer_service=timers
        )
        service = membership.MembershipService(
            own=incarnation,
            peer_address=bus.address,
            bus=bus,
            timer_service=timers,
            seeds=self.seeds(),
        )
        return Node(
            name=name,
            incarnation=incarnation,
            peer_address=bus.address,
            bus=bus,
            clock=clock,
            service=service,
            platform=reached,
            configuration=configuration.ConfigurationService(
                table=reached,
                directory=reached,
                members=service,
                timer_service=timers,
                period_s=1,
            ),
        )

    def start(self) -> None:
        """Start every instance with everybody as a seed."""
        for node in self.nodes.values():
            node.service.settings_seeds = self.seeds()
            node.service.list_changed(
                platform.InstanceList(entries=(), upstreams=())
            )
            node.service.start()
            node.configuration.refresh()
        self.publish()

    def publish(self) -> None:
        """Let the platform list every instance that lives now."""
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

    def kill(self, name: str) -> Node:
        """End an instance without a word."""
        node = self.nodes.pop(name)
        node.service.stop()
        self.network.detach(node.peer_address)
        return node

    def freeze(self, name: str) -> None:
        """Stop an instance's execution."""
        self.network.frozen.add(self.nodes[name].peer_address)

    def thaw(self, name: str) -> None:
        """Continue an instance: its timers are late, its messages wait."""
        node = self.nodes[name]
        node.clock.advance(self.clock.seconds() - node.clock.seconds())
        self.network.thaw(node.peer_address)

    def run(self, seconds: float) -> None:
        """Let time pass for all that are not frozen."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for node in tuple(self.nodes.values()):
                if node.peer_address not in self.network.frozen:
                    late_s = self.clock.seconds() - node.clock.seconds()
                    node.clock.advance(late_s)

    def addresses(self, zone: str) -> set[str]:
        """Return the peer addresses of a zone."""
        return {
            node.peer_address
            for name, node in self.nodes.items()
            if name.startswith(zone)
        }

    def states(self, seer: str) -> dict[names.Epoch, peers.PeerState]:
        """Return what one instance believes of all others, by epoch."""
        return {
            peer.incarnation.epoch: peer.state
            for peer in self.nodes[seer].service.peers()
        }
