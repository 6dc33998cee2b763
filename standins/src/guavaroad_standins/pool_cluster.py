"""In-memory platform store and links between instances."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Any, Final

from twisted.internet import defer

from guavaroad.domain import names
from guavaroad.domain.pool import (
    election,
    evacuations,
    peer_messages,
    values,
    worker,
)
from guavaroad.ports import platform, pool

STORE_LATENCY_S: Final = 0.004
LINK_LATENCY_S: Final = 0.001
DIAL_TIMEOUT_S: Final = 0.4


class MemoryStore:
    """Store that all instances share.

    Attributes:
        instances: Instance directory.
        allocator_row: Row of the active allocator.
        worker_infos: List of workers.
        config: Text of the configuration.
        position: Version counter of the configuration.
        evacuated: Evacuated availability zones.
    """

    def __init__(self) -> None:
        self.instances: dict[str, peer_messages.Instance] = {}
        self.allocator_row = election.AllocatorRow(
            token=values.Token(0),
            allocator=values.InstanceName(''),
            version=0,
        )
        self.worker_infos: tuple[worker.WorkerInfo, ...] = ()
        self.config = b'1'
        self.position = 1
        self.evacuated: frozenset[names.AvailabilityZone] = frozenset()


class MemoryCluster:
    """Implements `pool.ClusterPort` for one instance.

    Attributes:
        is_disconnected: Whether the store is unreachable for this instance.
        latency_s: Latency of the store, in seconds.
    """

    def __init__(self, *, clock: Any, store: MemoryStore) -> None:
        self.clock = clock
        self.store = store
        self.is_disconnected = False
        self.latency_s = STORE_LATENCY_S

    async def sleep(self, seconds: float = 0) -> None:
        """Wait for the latency of the store, or for a given time."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self.clock.callLater(seconds or self.latency_s, waiting.callback, None)
        await waiting

    async def register_instance(self, instance: peer_messages.Instance) -> bool:
        """Add an instance to the directory."""
        await self.sleep()
        if self.is_disconnected:
            return False
        self.store.instances[instance.name] = instance
        return True

    async def instances(self) -> Any:
        """Read the directory."""
        await self.sleep()
        if self.is_disconnected:
            return platform.Away(detail='store unreachable')
        return tuple(self.store.instances.values())

    async def read_allocator(self) -> Any:
        """Read the row of the active allocator."""
        await self.sleep()
        if self.is_disconnected:
            return platform.Away(detail='store unreachable')
        return self.store.allocator_row

    async def claim(self, seen: Any, token: Any, name: Any) -> Any:
        """Write an instance as active allocator if the row is unchanged."""
        await self.sleep()
        if self.is_disconnected:
            return platform.Away(detail='store unreachable')
        if self.store.allocator_row.version != seen.version:
            return pool.ClaimLost()
        self.store.allocator_row = election.AllocatorRow(
            token=token, allocator=name, version=seen.version + 1
        )
        return pool.Claimed()

    async def workers(self) -> Any:
        """Read the list of workers."""
        await self.sleep()
        if self.is_disconnected:
            return platform.Away(detail='store unreachable')
        return pool.WorkerRows(
            rows=tuple(
                (listed.worker_id, b'') for listed in self.store.worker_infos
            )
        )

    async def config(self, after: int | None) -> Any:
        """Read the configuration, or wait for a change."""
        if after == self.store.position and not self.is_disconnected:
            await self.sleep(0.1)
        await self.sleep()
        if self.is_disconnected:
            return platform.Away(detail='store unreachable')
        return pool.ConfigText(
            body=self.store.config,
            position=self.store.position,
            zones=evacuations.ZoneChanges(
                evacuated=self.store.evacuated, is_complete=True
            ),
        )


class MemoryLink:
    """One end of a link; implements `instance_links.LinkPort`.

    Attributes:
        other: The other end.
        owner: Instance at this end.
        sent_s: Time of the last message that was sent, in seconds.
    """

    def __init__(self, *, network: 'Network', owner: str) -> None:
        self.network = network
        self.owner = owner
        self.other: MemoryLink | None = None
        self.is_open = True
        self.sent_s = float(0)
        self.on_message: Callable[[Any], object] = _ignore
        self.on_lost: Callable[[], object] = _ignore

    def send(self, message: Any) -> None:
        """Send a message."""
        other = self.other
        if isinstance(message, peer_messages.SharedConfig):
            self.network.shared_config_count += 1
        if self.is_open and other is not None:
            self.sent_s = self.network.clock.seconds()
            self.network.record(self.owner, other.owner, message)
            self.network.deliver(
                self.owner,
                other.owner,
                functools.partial(other.receive, message),
            )

    def receive(self, message: Any) -> None:
        """Pass a message to `on_message` while the link is open."""
        if self.is_open:
            self.on_message(message)

    def flush(self) -> None:
        """Do nothing: messages are not buffered."""

    def close(self) -> None:
        """Close the link after the messages that were sent."""
        self.abort()

    def abort(self) -> None:
        """Close the link."""
        if self.is_open:
            self.is_open = False
            other = self.other
            if other is not None:
                self.network.deliver(self.owner, other.owner, other.lost)
            self.on_lost()

    def lost(self) -> None:
        """Handle the loss of the other end."""
        if self.is_open:
            self.is_open = False
            self.on_lost()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SentMessage:
    """A message that one instance has sent to another.

    Attributes:
        sent_s: Time at which it was sent, in seconds.
        sender: Instance that has sent it.
        receiver: Instance that it was sent to.
        message: The message.
    """

    sent_s: float
    sender: str
    receiver: str
    message: Any


Delivery = Callable[[], object]
# Name of an instance and the callback that accepts links to it.
Listener = tuple[str, Callable[[Any], object]]


class Network:
    """Simulated network between instances.

    Attributes:
        listeners: Listener of each instance, by address.
        is_cut: Returns whether two instances are partitioned.
        dead: Names of the instances that have stopped.
        latency_s: Time that a message takes, in seconds.
        links: Both ends of every link that was opened.
        held: Deliveries to instances that receive nothing for now.
        held_paths: Deliveries that are held back, by sender and receiver.
        messages: Messages sent.
        shared_config_count: Number of configurations sent.
    """

    def __init__(self, *, clock: Any) -> None:
        self.clock = clock
        self.listeners: dict[str, Listener] = {}
        self.is_cut: Callable[[str, str], bool] = _never
        self.dead: set[str] = set()
        self.latency_s = LINK_LATENCY_S
        self.links: list[MemoryLink] = []
        self.held: dict[str, list[Delivery]] = {}
        self.held_paths: dict[tuple[str, str], list[Delivery]] = {}
        self.messages: list[SentMessage] = []
        self.shared_config_count = 0

    def deliver(
        self, sender: str, receiver: str, action: Callable[[], object]
    ) -> None:
        """Schedule a delivery from one instance to another."""
        if sender not in self.dead and not self.is_cut(sender, receiver):
            self.clock.callLater(
                self.latency_s, self.arrive, sender, receiver, action
            )

    def arrive(
        self, sender: str, receiver: str, action: Callable[[], object]
    ) -> None:
        """Run a delivery unless the receiver is unreachable or stopped."""
        delayed = self.held_paths.get((sender, receiver))
        if delayed is not None:
            delayed.append(
                functools.partial(self.arrive, sender, receiver, action)
            )
            return
        if self.is_cut(sender, receiver) or receiver in self.dead:
            return
        held = self.held.get(receiver)
        if held is None:
            action()
        else:
            held.append(action)

    def record(self, sender: str, receiver: str, message: Any) -> None:
        """Record a message."""
        self.messages.append(
            SentMessage(
                sent_s=self.clock.seconds(),
                sender=sender,
                receiver=receiver,
                message=message,
            )
        )

    def hold(self, receiver: str) -> None:
        """Hold back what arrives at an instance."""
        self.held[receiver] = []

    def release(self, receiver: str) -> None:
        """Deliver what was held back, in order."""
        for action in self.held.pop(receiver):
            action()

    def hold_path(self, path: tuple[str, str]) -> None:
        """Hold back what one instance sends to another."""
        self.held_paths[path] = []

    def release_path(self, path: tuple[str, str]) -> None:
        """Deliver what was held back on a path, in order."""
        for action in self.held_paths.pop(path):
            action()

    def reset_links(self, name: str) -> None:
        """Report the loss of every link of an instance to its other end."""
        for link in self.links:
            if link.owner == name and link.is_open and link.other is not None:
                self.clock.callLater(LINK_LATENCY_S, link.other.lost)


class MemoryDialler:
    """Implements `instance_links.DiallerPort` for one instance."""

    def __init__(self, *, network: Network, owner: str) -> None:
        self.network = network
        self.owner = owner

    def dial(
        self,
        address: str,
        on_connected: Callable[[Any], object],
        on_failed: Callable[[], object],
    ) -> None:
        """Open a link to an address."""
        listener = self.network.listeners.get(address)
        if listener is None or listener[0] in self.network.dead:
            self.network.clock.callLater(LINK_LATENCY_S, on_failed)
            return
        name, accept = listener
        if self.network.is_cut(self.owner, name):
            self.network.clock.callLater(DIAL_TIMEOUT_S, on_failed)
            return
        self.network.clock.callLater(
            LINK_LATENCY_S, self.connect, name, accept, on_connected
        )

    def connect(
        self,
        name: str,
        accept: Callable[[Any], object],
        on_connected: Callable[[Any], object],
    ) -> None:
        """Create both ends of a link."""
        local = MemoryLink(network=self.network, owner=self.owner)
        remote = MemoryLink(network=self.network, owner=name)
        local.other = remote
        remote.other = local
        self.network.links.extend((local, remote))
        accept(remote)
        on_connected(local)


def _ignore(*_: Any) -> None:
    """Ignore a call."""


def _never(*_: Any) -> bool:
    return False
