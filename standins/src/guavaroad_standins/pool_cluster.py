"""Rows of the platform's store in memory, and links between instances."""

import functools
from collections.abc import Callable
from typing import Any, Final

from twisted.internet import defer

from guavaroad.domain.pool import election, peer_messages, values, worker
from guavaroad.ports import platform, pool

LATENCY_S: Final = 0.004
LINK_S: Final = 0.001
DIAL_TIMEOUT_S: Final = 0.4


class MemoryStore:
    """What the store keeps for every instance.

    Attributes:
        instances: The directory.
        row: Who allocates.
        facts: The list of workers.
        config: Text of the configuration.
        position: Counts its versions.
    """

    def __init__(self) -> None:
        self.instances: dict[str, peer_messages.Instance] = {}
        self.row = election.AllocatorRow(
            token=values.Token(0),
            allocator=values.InstanceName(''),
            version=0,
        )
        self.facts: tuple[worker.Facts, ...] = ()
        self.config = b'1'
        self.position = 1


class MemoryCluster:
    """Implements `pool.ClusterPort` for one instance.

    Attributes:
        is_away: Whether this instance does not reach the store.
        latency_s: Time that an answer takes.
    """

    def __init__(self, *, clock: Any, store: MemoryStore) -> None:
        self.clock = clock
        self.store = store
        self.is_away = False
        self.latency_s = LATENCY_S

    async def pause(self, seconds: float = 0) -> None:
        """Wait as long as an answer takes, or for a given time."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self.clock.callLater(seconds or self.latency_s, waiting.callback, None)
        await waiting

    async def register_instance(self, instance: peer_messages.Instance) -> bool:
        """Put this instance into the directory."""
        await self.pause()
        if self.is_away:
            return False
        self.store.instances[instance.name] = instance
        return True

    async def instances(self) -> Any:
        """Read the directory."""
        await self.pause()
        if self.is_away:
            return platform.Away(detail='away')
        return tuple(self.store.instances.values())

    async def read_allocator(self) -> Any:
        """Read who allocates."""
        await self.pause()
        if self.is_away:
            return platform.Away(detail='away')
        return self.store.row

    async def claim(self, seen: Any, token: Any, name: Any) -> Any:
        """Name this instance as the holder, if the row is as it was seen."""
        await self.pause()
        if self.is_away:
            return platform.Away(detail='away')
        if self.store.row.version != seen.version:
            return pool.ClaimLost()
        self.store.row = election.AllocatorRow(
            token=token, allocator=name, version=seen.version + 1
        )
        return pool.Claimed()

    async def workers(self) -> Any:
        """Read the list of workers."""
        await self.pause()
        if self.is_away:
            return platform.Away(detail='away')
        return pool.WorkerRows(
            rows=tuple((one.worker_id, b'') for one in self.store.facts)
        )

    async def config(self, after: int | None) -> Any:
        """Read the configuration, or wait for a change."""
        if after == self.store.position and not self.is_away:
            await self.pause(0.1)
        await self.pause()
        if self.is_away:
            return platform.Away(detail='away')
        return pool.ConfigText(
            body=self.store.config, position=self.store.position
        )


class MemoryLink:
    """One end of a link; implements `instance_links.LinkPort`.

    Attributes:
        other: The other end.
        owner: Instance at this end.
    """

    def __init__(self, *, network: 'Network', owner: str) -> None:
        self.network = network
        self.owner = owner
        self.other: MemoryLink | None = None
        self.is_open = True
        self.on_message: Callable[[Any], object] = _nothing
        self.on_lost: Callable[[], object] = _nothing

    def send(self, message: Any) -> None:
        """Send a message."""
        other = self.other
        if isinstance(message, peer_messages.SharedConfig):
            self.network.shared += 1
        if self.is_open and other is not None:
            self.network.deliver(
                self.owner,
                other.owner,
                functools.partial(other.receive, message),
            )

    def receive(self, message: Any) -> None:
        """Take a message."""
        if self.is_open:
            self.on_message(message)

    def flush(self) -> None:
        """Send what has gathered: nothing gathers here."""

    def close(self) -> None:
        """Close after what was sent."""
        self.abort()

    def abort(self) -> None:
        """Close."""
        if self.is_open:
            self.is_open = False
            other = self.other
            if other is not None:
                self.network.deliver(self.owner, other.owner, other.lost)
            self.on_lost()

    def lost(self) -> None:
        """Note that the other end is gone."""
        if self.is_open:
            self.is_open = False
            self.on_lost()


# Name of an instance, and what takes links to it.
Listener = tuple[str, Callable[[Any], object]]


class Network:
    """Carries messages between instances, unless they are cut off.

    Attributes:
        listeners: Called with each link to an instance, by address.
        is_cut: Tells whether two instances do not reach each other.
        dead: Instances that are gone.
        shared: Configurations that were sent.
    """

    def __init__(self, *, clock: Any) -> None:
        self.clock = clock
        self.listeners: dict[str, Listener] = {}
        self.is_cut: Callable[[str, str], bool] = _never
        self.dead: set[str] = set()
        self.shared = 0

    def deliver(
        self, sender: str, receiver: str, action: Callable[[], object]
    ) -> None:
        """Carry something from one instance to another."""
        if sender not in self.dead and not self.is_cut(sender, receiver):
            self.clock.callLater(LINK_S, self.arrive, sender, receiver, action)

    def arrive(
        self, sender: str, receiver: str, action: Callable[[], object]
    ) -> None:
        """Hand over what was carried, unless it is lost on the way."""
        is_lost = self.is_cut(sender, receiver)
        if not is_lost and receiver not in self.dead:
            action()


class MemoryDialler:
    """Implements `instance_links.DiallerPort` for one instance."""

    def __init__(self, *, network: Network, owner: str) -> None:
        self.network = network
        self.owner = owner

    def dial(
        self,
        address: str,
        on_made: Callable[[Any], object],
        on_failed: Callable[[], object],
    ) -> None:
        """Make a link."""
        found = self.network.listeners.get(address)
        if found is None or found[0] in self.network.dead:
            self.network.clock.callLater(LINK_S, on_failed)
            return
        name, accept = found
        if self.network.is_cut(self.owner, name):
            self.network.clock.callLater(DIAL_TIMEOUT_S, on_failed)
            return
        self.network.clock.callLater(
            LINK_S, self.connect, name, accept, on_made
        )

    def connect(
        self,
        name: str,
        accept: Callable[[Any], object],
        on_made: Callable[[Any], object],
    ) -> None:
        """Connect both ends."""
        here = MemoryLink(network=self.network, owner=self.owner)
        there = MemoryLink(network=self.network, owner=name)
        here.other = there
        there.other = here
        accept(there)
        on_made(here)


def _nothing(*_: Any) -> None:
    """Take what nobody waits for."""


def _never(*_: Any) -> bool:
    return False
