"""Messages between entry instances, and the membership view.

Delivery is at most once: a message may be lost, and the transport never sends
it twice.  An operation that must not be repeated needs a guarantee beyond a
single message.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from guavaroad.domain import identity, names


class PeerState(enum.Enum):
    """State of a peer, as evaluated by this instance."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Another entry instance.

    Attributes:
        incarnation: Incarnation of the process.
        peer_address: Address that receives peer messages.
        state: State of the instance.
    """

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    state: PeerState


Handler = Callable[[Peer, Any], None]


class PeerBus(Protocol):
    """Transport for typed messages, which batches them into frames."""

    def send(self, to: names.PeerAddress, message: msgspec.Struct) -> None:
        """Queue a message, which is delivered at most once.

        Args:
            to: Peer address.
            message: Frozen struct whose `tag` is unique among all messages.
        """

    def subscribe(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Subscribe to messages of one type, before the bus starts.

        Args:
            kind: Type of the messages.
            handler: Called with the sender and the message.
        """

    def disconnect(self, address: names.PeerAddress) -> None:
        """Close the connection to a peer; a later send reconnects."""


class MembershipPort(Protocol):
    """View of all other entry instances."""

    def peers(self) -> tuple[Peer, ...]:
        """Return all known peers that have not been evicted."""

    def subscribe(self, changed: Callable[[], object]) -> None:
        """Register a callback for changes of the view."""
