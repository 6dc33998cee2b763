"""Messages between entry instances, and who is alive.

A message may be lost, and is never sent twice by the transport.  Nothing that
must happen at most once may rest on a message alone.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from guavaroad.domain import identity, names


class PeerState(enum.Enum):
    """What this instance believes of a peer."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Another entry instance.

    Attributes:
        incarnation: The process at that address.
        peer_address: Where it takes messages.
        state: What this instance believes of it.
    """

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    state: PeerState


Handler = Callable[[Peer, Any], None]


class PeerBus(Protocol):
    """Sends typed messages; many of one tick go in one frame."""

    def send(self, to: names.PeerAddress, message: msgspec.Struct) -> None:
        """Queue a message; it may be lost and is never repeated.

        Args:
            to: Peer address.
            message: Frozen struct with a `tag` unique among all messages.
        """

    def subscribe(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Take messages of one type.

        Args:
            kind: Type of the message; subscribe before the bus starts.
            handler: Called with the sender and the message.
        """

    def disconnect(self, address: names.PeerAddress) -> None:
        """Close the way to a peer that is gone; a later send dials again."""


class MembershipPort(Protocol):
    """The view of live entry instances, this one left out."""

    def peers(self) -> tuple[Peer, ...]:
        """Return every peer that is known and not forgotten."""

    def subscribe(self, changed: Callable[[], object]) -> None:
        """Call back after every change of the view."""
