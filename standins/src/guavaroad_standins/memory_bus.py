"""An in-memory peer bus with cuts, losses, delays and reordering.

It runs on the fake timer, so a scenario places every message by itself.
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
class Carried:
    """One message on its way.

    Attributes:
        source: Peer address of the sender.
        target: Peer address of the receiver.
        message: The message.
    """

    source: names.PeerAddress
    target: names.PeerAddress
    message: Any


@dataclasses.dataclass(slots=True, kw_only=True)
class OnMessage:
    """Strikes once, at the last of some messages of one kind.

    Attributes:
        kind: Type of the messages.
        ends: Addresses of senders or receivers that count.
        count: Messages to wait for.
        action: Called at the strike.
        seen: Messages so far.
    """

    kind: type[msgspec.Struct]
    ends: set[str]
    count: int
    action: Callable[[], object]
    seen: int = 0

    def watch(self, carried: 'Carried') -> bool:
        """Count a message; it is never lost by this."""
        ends = {carried.source, carried.target}
        message = carried.message.message
        if isinstance(message, self.kind) and ends & self.ends:
            self.seen += 1
            if self.seen == self.count:
                self.action()
        return False


class Network:
    """Carries the messages between the buses of one scenario.

    Attributes:
        delay_s: Seconds on the way.
        jitter_s: Most seconds added at random, which reorders messages.
        cut: Pairs (source, target) of addresses that lose everything.
        frozen: Addresses whose process is stopped; messages wait for it.
        loses: Called with each message; a true value loses it.
    """

    def __init__(
        self, *, timer_service: timers.TimerService, seed: int = 1
    ) -> None:
        self.timers = timer_service
        self.chooser = random.Random(seed)
        self.buses: dict[names.PeerAddress, MemoryBus] = {}
        self.delay_s = _DEFAULT_DELAY_S
        self.jitter_s: float = 0
        self.cut: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.held: list[Carried] = []
        self.loses: Callable[[Carried], object] = _never
        self.log: list[Carried] = []

    def attach(
        self, incarnation: identity.Incarnation, address: names.PeerAddress
    ) -> 'MemoryBus':
        """Return a new bus at an address; it replaces one that was there."""
        made = MemoryBus(network=self, incarnation=incarnation, address=address)
        self.buses[address] = made
        return made

    def detach(self, address: names.PeerAddress) -> None:
        """End the process at an address."""
        self.buses.pop(address, None)

    def separate(self, left: set[str], right: set[str]) -> None:
        """Cut every way between two sets of addresses."""
        for one in left:
            for other in right:
                self.cut |= {(one, other), (other, one)}

    def join(self) -> None:
        """Mend every cut."""
        self.cut.clear()

    def thaw(self, address: str) -> None:
        """Continue a stopped process; what waited for it arrives."""
        self.frozen.discard(address)
        arriving = [one for one in self.held if one.target == address]
        self.held = [one for one in self.held if one.target != address]
        for carried in arriving:
            self.deliver(carried)

    def carry(self, carried: Carried) -> None:
        """Take a message, and lose it or deliver it later."""
        self.log.append(carried)
        if self.loses(carried):
            return
        extra_s = self.chooser.random() * self.jitter_s
        self.timers.call_after(
            self.delay_s + extra_s, lambda: self.deliver(carried)
        )

    def deliver(self, carried: Carried) -> None:
        """Hand a message over unless its way is cut."""
        if (carried.source, carried.target) in self.cut:
            return
        if carried.target in self.frozen:
            self.held.append(carried)
            return
        target = self.buses.get(carried.target)
        if target is not None:
            target.receive(carried)


class MemoryBus:
    """The peer bus of one process of a scenario."""

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
        self.forgotten: list[names.PeerAddress] = []
        self.senders: dict[names.PeerAddress, identity.Incarnation] = {}

    def subscribe(
        self, kind: type[msgspec.Struct], handler: peers.Handler
    ) -> None:
        """Take messages of one type."""
        self.handlers[kind] = handler

    def send(self, to: names.PeerAddress, message: msgspec.Struct) -> None:
        """Send a message; it may be lost."""
        if self.address in self.network.frozen:
            return
        self.network.carry(
            Carried(
                source=self.address,
                target=to,
                message=Stamped(self.incarnation, message),
            )
        )

    def disconnect(self, address: names.PeerAddress) -> None:
        """Note that the owner closed the way to a peer."""
        self.forgotten.append(address)

    def receive(self, carried: Carried) -> None:
        """Call the handler of a message."""
        stamped = carried.message
        handler = self.handlers.get(type(stamped.message))
        if handler is None:
            return
        sender = peers.Peer(
            incarnation=stamped.sender,
            peer_address=carried.source,
            state=peers.PeerState.ALIVE,
        )
        handler(sender, stamped.message)


@dataclasses.dataclass(frozen=True, slots=True)
class Stamped:
    """A message with the process that sent it."""

    sender: identity.Incarnation
    message: Any


def _never(_: Carried) -> bool:
    return False
