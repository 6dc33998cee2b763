"""Messages of membership."""

from typing import Any

import msgspec

from guavaroad.domain import identity, names


class ConfigMark(msgspec.Struct, frozen=True, array_like=True):
    """What an instance knows of the configuration.

    Attributes:
        row_version: Version of the head row, 0 for none.
        version: Number of the configuration in force.
        digest: Hash of its document.
    """

    row_version: int = 0
    version: int = 0
    digest: str = ''


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One instance of a zone.

    Attributes:
        address: Client address.
        epoch: Epoch of the process.
        peer_address: Where it takes messages.
        leaving: Whether it is stopping.
    """

    address: names.ClientAddress
    epoch: names.Epoch
    peer_address: names.PeerAddress
    leaving: bool = False

    def incarnation(self, zone: names.AvailabilityZone) -> identity.Incarnation:
        """Return the process in that zone."""
        return identity.Incarnation(
            availability_zone=zone, address=self.address, epoch=self.epoch
        )


class ZoneReport(msgspec.Struct, frozen=True, array_like=True):
    """What a reporter says of the live instances of its own zone.

    Attributes:
        zone: The zone.
        reporter: Epoch of the instance that says so.
        revision: Hash of the records.
        records: The records, or none if the reader should know the revision.
    """

    zone: names.AvailabilityZone
    reporter: names.Epoch
    revision: int
    records: tuple[MemberRecord, ...] = ()


class Heartbeat(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.heartbeat'
):
    """Sign of life of the sender.

    Attributes:
        sequence: Number of the heartbeat in this life.
        started_ms: Wall-clock time of the process start, milliseconds.
        hello: Whether the receiver should answer with one of its own.
        leaving: Whether the sender is stopping.
        load: Tasks queued at the sender.
        config: What it knows of the configuration.
        reports: Reports of other zones that it just got over a zone link.
        extension: Values that other parts add by name.
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
    """A zone report sent over a link between zones.

    Attributes:
        report: The report.
        config: What the sender knows of the configuration.
    """

    report: ZoneReport
    config: ConfigMark = ConfigMark()


class MembersRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='membership.members_request',
):
    """Asks for the records of a revision.

    Attributes:
        zone: The zone.
        revision: The revision that the sender does not know.
    """

    zone: names.AvailabilityZone
    revision: int


class MembersReply(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.members_reply'
):
    """The records of a revision."""

    zone: names.AvailabilityZone
    revision: int
    records: tuple[MemberRecord, ...]


class Probe(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.probe'
):
    """Asks whether the receiver hears an instance of the zone."""

    epoch: names.Epoch


class ProbeReply(
    msgspec.Struct, frozen=True, array_like=True, tag='membership.probe_reply'
):
    """Says how long an instance of the zone has been silent.

    Attributes:
        epoch: The instance.
        silence_ms: Milliseconds since its last word.
    """

    epoch: names.Epoch
    silence_ms: int
