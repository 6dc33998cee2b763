"""Several instances that lease slots, on one fake clock and memory bus."""

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


class FullUpstreams(worlds.FakeUpstreams):
    """Upstreams of all instances: a full one refuses as busy."""

    def __init__(self, clock, slot_count):
        super().__init__(clock)
        self.slot_count = slot_count
        self.busy = 0

    def start(self, upstream, attempt):
        """Run a task if the upstream has a free slot."""
        running = [one for one in self.running if one.upstream == upstream.name]
        if len(running) >= self.slot_count:
            self.busy += 1
            reason = attempts.NotStartedReason.BUSY
            return defer.succeed(attempts.NotStarted(reason=reason))
        return super().start(upstream, attempt)


class Members:
    """The view of one instance, set by the scenario."""

    def __init__(self, world, own):
        self.world = world
        self.own = own
        self.followers = []

    def peers(self):
        """Return every other instance that the scenario keeps alive."""
        members = self.world.members
        others = [one for one in members if one.peer_address != self.own]
        return tuple(others)

    def subscribe(self, changed):
        """Call back after every change."""
        self.followers.append(changed)


class LeasingInstance(worlds.World):
    """One instance of the world."""

    def __init__(self, world, peer):
        self.peer = peer
        self.world = world
        shared = {'clock': world.clock, 'port': world.port}
        super().__init__(count=0, slots=0, **shared)
        self.members = Members(world, peer.peer_address)
        address = peer.peer_address
        self.bus = world.network.attach(peer.incarnation, address)
        zone = peer.incarnation.availability_zone
        self.allocating = allocation.ZoneAllocator(
            zone=zone,
            timer_service=self.timers,
            tick_s=TIMES.tick_s,
            lease_s=LEASE_S,
            moves=True,
        )
        self.links = allocation.AllocatorLinks(
            own=peer,
            nearest_zones=(),
            bus=self.bus,
            members=self.members,
            timer_service=self.timers,
            zone_allocator=self.allocating,
        )
        self.keeper = slots.SlotLeaseService(
            dispatcher=self.dispatcher,
            timer_service=self.timers,
            links=self.links,
            times=TIMES,
            moves=True,
        )

    def follow_members(self):
        """Tell the parts that the view changed."""
        for changed in self.members.followers:
            changed()

    def held(self):
        """Return the slots this instance holds."""
        return sum(use.share for use in self.slots.uses.values())

    def running(self):
        """Return the slots in use."""
        return sum(use.running for use in self.slots.uses.values())


class SlotWorld:
    """Instances of some zones and the upstreams of each."""

    def __init__(self, *, zones, instances, upstreams, slot_count):
        self.clock = task.Clock()
        self.timers = reactor_timers.ReactorTimers(clock=self.clock)
        self.port = FullUpstreams(self.clock, slot_count)
        self.network = memory_bus.Network(timer_service=self.timers)
        self.network.delay_s = 0.001
        places = itertools.product(zones, range(instances))
        self.members = list(itertools.starmap(member, places))
        listed = itertools.product(zones, range(upstreams), (slot_count,))
        self.listed = tuple(itertools.starmap(listed_in, listed))
        self.instances = [LeasingInstance(self, one) for one in self.members]
        self.list_upstreams()

    def list_upstreams(self):
        """Show every instance the platform's list."""
        for one in self.instances:
            one.keeper.list_changed(self.shown())

    def shown(self):
        """Return the platform's list."""
        entries = tuple(
            platform.ListedInstance(
                availability_zone=known.incarnation.availability_zone,
                address=known.incarnation.address,
                peer_address=known.peer_address,
            )
            for known in self.members
        )
        return platform.InstanceList(entries=entries, upstreams=self.listed)

    def view_changed(self):
        """Tell every instance that the view changed."""
        for one in self.instances:
            one.follow_members()

    def allocator(self, zone):
        """Return the instance that allocates a zone."""
        chosen = election.allocator_of(
            zone,
            [
                one.peer_address
                for one in self.members
                if one.incarnation.availability_zone == zone
            ],
        )
        found = [
            one for one in self.instances if one.peer.peer_address == chosen
        ]
        return found[0]

    def kill(self, instance):
        """End an instance; its tasks at upstreams run on."""
        self.network.detach(instance.peer.peer_address)
        self.network.frozen.add(instance.peer.peer_address)
        self.instances.remove(instance)

    def forget(self, instance):
        """Let the others believe that an instance is dead."""
        self.members.remove(instance.peer)
        self.view_changed()

    def run_for(self, seconds):
        """Let the clock and the upstreams run."""
        for _ in range(round(seconds / 0.001)):
            self.clock.advance(0.001)
            self.port.end_due()


def member(zone, number):
    """Return one member of the view."""
    return peers.Peer(
        incarnation=identity.Incarnation(
            availability_zone=names.AvailabilityZone(zone),
            address=names.ClientAddress(f'{zone}-{number}'),
            epoch=names.Epoch(f'{zone}{number}'),
        ),
        peer_address=names.PeerAddress(f'peer-{zone}-{number}'),
        state=peers.PeerState.ALIVE,
    )


def listed_in(zone, number, slot_count):
    """Return an upstream of a zone."""
    return dataclasses.replace(
        worlds.listed_upstream(number, slot_count),
        name=names.UpstreamName(f'{zone}-up-{number}'),
        availability_zone=names.AvailabilityZone(zone),
    )
