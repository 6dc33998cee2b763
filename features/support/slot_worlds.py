"""Several instances that lease slots, on one fake clock and in-memory bus."""

import dataclasses
import itertools

from twisted.internet import defer, task

from guavaroad.adapters import reactor_timers
from guavaroad.domain import attempts, identity, names
from guavaroad.domain.slots import election
from guavaroad.ports import peers, platform
from guavaroad.services import allocation, slots
from guavaroad_standins import memory_bus
from support import worlds

LEASE_S = 3
TIMES = slots.LeaseTimes(
    tick_s=0.002,
    lease_s=LEASE_S,
    idle_timeout_s=0.1,
    fallback_timeout_s=1,
    idle_reserve=0.25,
)


class LimitedUpstreams(worlds.FakeUpstreams):
    """Upstreams shared by all instances; a full one refuses as busy."""

    def __init__(self, clock, slot_count):
        super().__init__(clock)
        self.slot_count = slot_count
        self.busy_refusals = 0

    def start(self, upstream, attempt):
        """Run a task if the upstream has a free slot."""
        running = [
            running_task
            for running_task in self.running
            if running_task.upstream == upstream.name
        ]
        if len(running) >= self.slot_count:
            self.busy_refusals += 1
            reason = attempts.NotStartedReason.BUSY
            return defer.succeed(attempts.NotStarted(reason=reason))
        return super().start(upstream, attempt)


class Members:
    """Membership view of one instance, set by the scenario."""

    def __init__(self, world, own):
        self.world = world
        self.own = own
        self.subscribers = []

    def peers(self):
        """Return all other instances that the scenario keeps alive."""
        members = self.world.members
        others = [peer for peer in members if peer.peer_address != self.own]
        return tuple(others)

    def subscribe(self, changed):
        """Call back after every change."""
        self.subscribers.append(changed)


class LeasingInstance(worlds.World):
    """One instance that leases slots."""

    def __init__(self, world, peer):
        self.peer = peer
        self.world = world
        shared = {'clock': world.clock, 'port': world.port}
        super().__init__(count=0, slots=0, **shared)
        self.members = Members(world, peer.peer_address)
        address = peer.peer_address
        self.bus = world.network.attach(peer.incarnation, address)
        zone = peer.incarnation.availability_zone
        self.zone_allocator = allocation.ZoneAllocator(
            zone=zone,
            timer_service=self.timers,
            tick_s=TIMES.tick_s,
            lease_s=LEASE_S,
            rebalances=True,
        )
        self.links = allocation.AllocatorLinks(
            own=peer,
            nearest_zones=(),
            bus=self.bus,
            members=self.members,
            timer_service=self.timers,
            zone_allocator=self.zone_allocator,
        )
        self.lease_service = slots.SlotLeaseService(
            dispatcher=self.dispatcher,
            timer_service=self.timers,
            links=self.links,
            times=TIMES,
            rebalances=True,
        )

    def notify_subscribers(self):
        """Notify the subscribers that the membership view changed."""
        for changed in self.members.subscribers:
            changed()

    def held(self):
        """Return the number of slots that this instance holds."""
        return sum(use.share for use in self.slots.uses.values())

    def running(self):
        """Return the number of slots in use."""
        return sum(use.running for use in self.slots.uses.values())


class SlotWorld:
    """Instances of one or more zones, and the upstreams of each zone."""

    def __init__(self, *, zones, instances, upstreams, slot_count):
        self.clock = task.Clock()
        self.timers = reactor_timers.ReactorTimers(clock=self.clock)
        self.port = LimitedUpstreams(self.clock, slot_count)
        self.network = memory_bus.Network(timer_service=self.timers)
        self.network.delay_s = 0.001
        places = itertools.product(zones, range(instances))
        self.members = list(itertools.starmap(member, places))
        listed = itertools.product(zones, range(upstreams), (slot_count,))
        self.listed = tuple(itertools.starmap(zone_upstream, listed))
        self.instances = [LeasingInstance(self, peer) for peer in self.members]
        self.publish_list()

    def publish_list(self):
        """Deliver the platform's list to every instance."""
        for instance in self.instances:
            instance.lease_service.list_changed(self.instance_list())

    def instance_list(self):
        """Return the platform's list."""
        entries = tuple(
            platform.ListedInstance(
                availability_zone=peer.incarnation.availability_zone,
                address=peer.incarnation.address,
                peer_address=peer.peer_address,
            )
            for peer in self.members
        )
        return platform.InstanceList(entries=entries, upstreams=self.listed)

    def notify_view_change(self):
        """Notify every instance that the membership view changed."""
        for instance in self.instances:
            instance.notify_subscribers()

    def allocator(self, zone):
        """Return the instance that allocates the slots of a zone."""
        chosen = election.allocator_of(
            zone,
            [
                peer.peer_address
                for peer in self.members
                if peer.incarnation.availability_zone == zone
            ],
        )
        found = [
            instance
            for instance in self.instances
            if instance.peer.peer_address == chosen
        ]
        return found[0]

    def kill(self, instance):
        """Kill an instance; its tasks at upstreams keep running."""
        self.network.detach(instance.peer.peer_address)
        self.network.frozen.add(instance.peer.peer_address)
        self.instances.remove(instance)

    def declare_dead(self, instance):
        """Remove an instance from the membership view of the others."""
        self.members.remove(instance.peer)
        self.notify_view_change()

    def run_for(self, seconds):
        """Advance the clock and let the upstreams end their tasks."""
        for _ in range(round(seconds / 0.001)):
            self.clock.advance(0.001)
            self.port.end_due()


def member(zone, number):
    """Return a live member of a zone."""
    return peers.Peer(
        incarnation=identity.Incarnation(
            availability_zone=names.AvailabilityZone(zone),
            address=names.ClientAddress(f'{zone}-{number}'),
            epoch=names.Epoch(f'{zone}{number}'),
        ),
        peer_address=names.PeerAddress(f'peer-{zone}-{number}'),
        state=peers.PeerState.ALIVE,
    )


def zone_upstream(zone, number, slot_count):
    """Return an upstream of a zone."""
    return dataclasses.replace(
        worlds.listed_upstream(number, slot_count),
        name=names.UpstreamName(f'{zone}-up-{number}'),
        availability_zone=names.AvailabilityZone(zone),
    )
