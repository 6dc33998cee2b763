"""Messages between instances about the configuration."""

import msgspec

from guavaroad.domain import names
from guavaroad.domain.configuration import record


class Proposed(
    msgspec.Struct, frozen=True, array_like=True, tag='config.proposed'
):
    """Asks for a confirmation; sent again until the proposal is decided.

    Attributes:
        row_version: Version of the head row that holds the proposal.
        proposal: The proposal.
        origin: Peer address of the driver.
        relay_to: Peer addresses that the receiver should ask on its behalf.
    """

    row_version: int
    proposal: record.Proposal
    origin: names.PeerAddress
    relay_to: tuple[names.PeerAddress, ...] = ()


class Confirmed(
    msgspec.Struct, frozen=True, array_like=True, tag='config.confirmed'
):
    """Answers that an instance knows the proposal.

    Attributes:
        row_version: Version of the head row it knows.
        proposal_id: The proposal.
        epoch: The instance.
        zone: Its zone.
        origin: Peer address of the driver.
        objection: Why the patch may not be committed, empty if it may.
        observation_time_ms: Milliseconds for which it has listened to its zone.
        since_heartbeat_ms: Milliseconds since each known zone peer was heard.
    """

    row_version: int
    proposal_id: str
    epoch: names.Epoch
    zone: names.AvailabilityZone
    origin: names.PeerAddress
    objection: str = ''
    observation_time_ms: int = 0
    since_heartbeat_ms: dict[names.PeerAddress, int] = {}


class Closed(msgspec.Struct, frozen=True, array_like=True, tag='config.closed'):
    """Tells the outcome of a proposal.

    Attributes:
        row_version: Version of the head row after it.
        proposal_id: The proposal.
        committed: Whether it is in force.
    """

    row_version: int
    proposal_id: str
    committed: bool


class RecordWanted(
    msgspec.Struct, frozen=True, array_like=True, tag='config.wanted'
):
    """Asks for the head row of the receiver.

    Attributes:
        row_version: Version that the sender has; -1 for none.
    """

    row_version: int


class RecordSent(
    msgspec.Struct, frozen=True, array_like=True, tag='config.record'
):
    """The head row as the sender knows it.

    Attributes:
        row_version: Its version.
        body: Encoded record.
    """

    row_version: int
    body: bytes
