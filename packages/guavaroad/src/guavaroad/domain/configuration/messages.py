"""Configuration messages between instances."""

import msgspec

from guavaroad.domain import names
from guavaroad.domain.configuration import record


class Proposed(
    msgspec.Struct, frozen=True, array_like=True, tag='config.proposed'
):
    """Request for a vote, repeated until the proposal is decided.

    Attributes:
        row_version: Version of the head row that contains the proposal.
        proposal: Open proposal.
        origin: Peer address of the driver.
        relay_to: Peer addresses to which the receiver should relay the
            request.
    """

    row_version: int
    proposal: record.Proposal
    origin: names.PeerAddress
    relay_to: tuple[names.PeerAddress, ...] = ()


class Confirmed(
    msgspec.Struct, frozen=True, array_like=True, tag='config.confirmed'
):
    """Vote of an instance that has the proposal.

    Attributes:
        row_version: Version of the voter's head row.
        proposal_id: Id of the proposal.
        epoch: Epoch of the voter.
        zone: Zone of the voter.
        origin: Peer address of the driver.
        objection: Reason against the patch; empty for a confirmation.
        observation_time_ms: Time for which the voter has received heartbeats
            without a local pause, in milliseconds.
        since_heartbeat_ms: Time since the last heartbeat of each known zone
            peer, in milliseconds.
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
    """Notification of the outcome of a proposal.

    Attributes:
        row_version: Version of the head row after the decision.
        proposal_id: Id of the proposal.
        committed: Whether the proposal was committed.
    """

    row_version: int
    proposal_id: str
    committed: bool


class RecordWanted(
    msgspec.Struct, frozen=True, array_like=True, tag='config.wanted'
):
    """Request for the head row of the receiver.

    Attributes:
        row_version: Version that the sender has, or -1 if it has none.
    """

    row_version: int


class RecordSent(
    msgspec.Struct, frozen=True, array_like=True, tag='config.record'
):
    """Reply with the head row of the sender.

    Attributes:
        row_version: Version of the row.
        body: Encoded record.
    """

    row_version: int
    body: bytes
