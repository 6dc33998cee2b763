"""Membership messages."""

from typing import Any

import msgspec

from guavaroad.domain import identity, names


class ConfigMark(msgspec.Struct, frozen=True, array_like=True):
    """Configuration version of an instance.

    Attributes:
        row_version: Version of the head row; 0 if there is none.
        version: Number of the configuration in force.
        digest: Hash of the configuration document in force.
    """

    row_version: int = 0
    version: int = 0
    digest: str = ''


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One instance of a zone.

    Attributes:
        address: Client address.
        epoch: Epoch of the process.
        peer_address: Address that receives peer messages.
        leaving: Whether the instance is stopping.
    """

    address: names.ClientAddress
    epoch: names.Epoch
    peer_address: names.PeerAddress
    leaving: bool = False

    def incarnation(self, zone: names.AvailabilityZone) -> identity.Incarnation:
        """Return the incarnation that the record describes.

        Args:
            zone: Zone of the record.
        """
        return identity.Incarnation(
            availability_zone=zone, address=self.address, epoch=self.epoch
        )


class ZoneReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of an instance on the live instances of its own zone.

    Attributes:
        zone: Reported zone.
        reporter: Epoch of the reporting instance.
        revision: Hash of the records.
        records: Live instances; empty if the revision was sent before.
    """

    zone: names.AvailabilityZone
    reporter: names.Epoch
    revision: int
    records: tuple[MemberRecord, ...] = ()


class Heartbeat(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.heartbeat'
):
    """Periodic message that shows that the sender is alive.

    Attributes:
        sequence: Sequence number in the sender's incarnation.
        started_ms: Wall-clock time of the process start, in milliseconds.
        hello: Whether the receiver should reply with a heartbeat.
        leaving: Whether the sender is stopping.
        load: Number of tasks queued at the sender.
        config: Configuration version of the sender.
        reports: Reports of other zones received since the last heartbeat.
        extension: Values of other components, by name.
    """

    sequence: int
    started_ms: int
    hello: bool = False
    leaving: bool = False
    load: int = 0
    config: ConfigMark = ConfigMark()
    reports: tuple[ZoneReport, ...] = ()
    extension: dict[str, Any] = {}


class ZoneUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.zone'
):
    """Zone report sent to another zone.

    Attributes:
        report: Report on the sender's zone.
        config: Configuration version of the sender.
    """

    report: ZoneReport
    config: ConfigMark = ConfigMark()


class MembersRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='membership.members_request',
):
    """Request for the records of a revision.

    Attributes:
        zone: Zone of the revision.
        revision: Revision that the sender has no records for.
    """

    zone: names.AvailabilityZone
    revision: int


class MembersReply(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.members_reply'
):
    """Reply with the records of a revision."""

    zone: names.AvailabilityZone
    revision: int
    records: tuple[MemberRecord, ...]


class Probe(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.probe'
):
    """Request for the age of the last heartbeat of a zone peer."""

    epoch: names.Epoch


class ProbeReply(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.probe_reply'
):
    """Reply with the age of the last heartbeat of a zone peer.

    Attributes:
        epoch: Epoch of the zone peer.
        heartbeat_age_ms: Milliseconds since its last heartbeat.
    """

    epoch: names.Epoch
    heartbeat_age_ms: int
