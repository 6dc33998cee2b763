"""An in-memory peer bus with partitions, losses, delays and reordering.

It runs on a simulated clock, so scenarios control when a message arrives.
"""

import dataclasses
import random
from collections.abc import Callable
from typing import Any, Final

import msgspec

from guavaroad.domain import identity, names
from guavaroad.ports import peers, timers

_DEFAULT_DELAY_S: Final = 0.005


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delivery:
    """A message in transit.

    Attributes:
        source: Peer address of the sender.
        target: Peer address of the receiver.
        message: The message.
    """

    source: names.PeerAddress
    target: names.PeerAddress
    message: Any


@dataclasses.dataclass(slots=True, kw_only=True)
class MessageTrigger:
    """Calls an action at the n-th message of one type.

    Attributes:
        kind: Type of the messages.
        addresses: Only messages from or to these addresses count.
        count: Number of the message that triggers the action.
        action: Called once.
        seen: Number of messages so far.
    """

    kind: type[msgspec.Struct]
    addresses: set[str]
    count: int
    action: Callable[[], object]
    seen: int = 0

    def observe(self, delivery: 'Delivery') -> bool:
        """Count a message; return false, so that it is delivered."""
        endpoints = {delivery.source, delivery.target}
        message = delivery.message.message
        if isinstance(message, self.kind) and endpoints & self.addresses:
            self.seen += 1
            if self.seen == self.count:
                self.action()
        return False


class Network:
    """Simulated network between the buses of one scenario.

    Attributes:
        delay_s: Delivery delay, in seconds.
        jitter_s: Upper bound of the random extra delay, in seconds; it
            reorders messages.
        cut: Pairs (source, target) of addresses that are partitioned.
        frozen: Addresses of stopped processes; messages to them are held.
        should_drop: Called with each message; a true value drops it.
    """

    def __init__(
        self, *, timer_service: timers.TimerService, seed: int = 1
    ) -> None:
        self.timers = timer_service
        self.random = random.Random(seed)
        self.buses: dict[names.PeerAddress, MemoryBus] = {}
        self.delay_s = _DEFAULT_DELAY_S
        self.jitter_s: float = 0
        self.cut: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.held: list[Delivery] = []
        self.should_drop: Callable[[Delivery], object] = _never
        self.log: list[Delivery] = []

    def attach(
        self, incarnation: identity.Incarnation, address: names.PeerAddress
    ) -> 'MemoryBus':
        """Return a new bus at an address, replacing any previous one."""
        bus = MemoryBus(network=self, incarnation=incarnation, address=address)
        self.buses[address] = bus
        return bus

    def detach(self, address: names.PeerAddress) -> None:
        """Remove the bus at an address."""
        self.buses.pop(address, None)

    def partition(self, left: set[str], right: set[str]) -> None:
        """Partition two sets of addresses in both directions."""
        for left_address in left:
            for right_address in right:
                self.cut |= {
                    (left_address, right_address),
                    (right_address, left_address),
                }

    def heal(self) -> None:
        """Remove all partitions."""
        self.cut.clear()

    def thaw(self, address: str) -> None:
        """Resume a stopped process and deliver its held messages."""
        self.frozen.discard(address)
        released = [held for held in self.held if held.target == address]
        self.held = [held for held in self.held if held.target != address]
        for delivery in released:
            self.deliver(delivery)

    def send(self, delivery: Delivery) -> None:
        """Drop a message or schedule its delivery."""
        self.log.append(delivery)
        if self.should_drop(delivery):
            return
        extra_delay_s = self.random.random() * self.jitter_s
        self.timers.call_after(
            self.delay_s + extra_delay_s, lambda: self.deliver(delivery)
        )

    def deliver(self, delivery: Delivery) -> None:
        """Deliver a message unless its path is partitioned."""
        if (delivery.source, delivery.target) in self.cut:
            return
        if delivery.target in self.frozen:
            self.held.append(delivery)
            return
        target = self.buses.get(delivery.target)
        if target is not None:
            target.receive(delivery)


class MemoryBus:
    """Peer bus of one simulated process."""

    def __init__(
        self,
        *,
        network: Network,
        incarnation: identity.Incarnation,
        address: names.PeerAddress,
    ) -> None:
        self.network = network
        self.incarnation = incarnation
        self.address = address
        self.handlers: dict[type[msgspec.Struct], peers.Handler] = {}
        self.disconnected: list[names.PeerAddress] = []
        self.senders: dict[names.PeerAddress, identity.Incarnation] = {}

    def subscribe(
        self, kind: type[msgspec.Struct], handler: peers.Handler
    ) -> None:
        """Register the handler for messages of one type."""
        self.handlers[kind] = handler

    def send(self, to: names.PeerAddress, message: msgspec.Struct) -> None:
        """Send a message; it may be lost."""
        if self.address in self.network.frozen:
            return
        self.network.send(
            Delivery(
                source=self.address,
                target=to,
                message=StampedMessage(self.incarnation, message),
            )
        )

    def disconnect(self, address: names.PeerAddress) -> None:
        """Record that the connection to a peer was closed."""
        self.disconnected.append(address)

    def receive(self, delivery: Delivery) -> None:
        """Pass a message to its handler."""
        stamped = delivery.message
        handler = self.handlers.get(type(stamped.message))
        if handler is None:
            return
        sender = peers.Peer(
            incarnation=stamped.sender,
            peer_address=delivery.source,
            state=peers.PeerState.ALIVE,
        )
        handler(sender, stamped.message)


@dataclasses.dataclass(frozen=True, slots=True)
class StampedMessage:
    """A message with the incarnation of its sender."""

    sender: identity.Incarnation
    message: Any


def _never(_: Delivery) -> bool:
    return False
