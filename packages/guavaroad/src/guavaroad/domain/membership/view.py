"""Membership view of one instance: its zone peers and the other zones."""

import dataclasses

from guavaroad.domain import identity, names
from guavaroad.domain.membership import (
    links,
    member_state,
    messages,
    timing,
    zone_peers,
    zones,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalInstance:
    """Identity of this instance.

    Attributes:
        incarnation: Incarnation of this process.
        peer_address: Address that receives peer messages.
        started_ms: Wall-clock time of the process start, in milliseconds.
    """

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    started_ms: int


class View:
    """State of every other instance, as evaluated by this one."""

    def __init__(self, *, own: LocalInstance) -> None:
        self.own = own
        self.zone = own.incarnation.availability_zone
        self.zone_peers = zone_peers.ZonePeers()
        self.zones: dict[names.AvailabilityZone, zones.Zone] = {}
        self.leaving = False
        self.last_tick_s: float | None = None
        self.observing_since_s: float | None = None
        self.had_zone_peer = False

    def get_or_create_zone(self, name: names.AvailabilityZone) -> zones.Zone:
        """Return another zone, adding it if it is unknown."""
        zone = self.zones.get(name)
        if zone is None:
            zone = zones.Zone(name=name)
            self.zones[name] = zone
        return zone

    def members(self, now_s: float) -> dict[names.Epoch, zones.RemoteMember]:
        """Return every other instance with its state."""
        members = {
            epoch: zones.RemoteMember(
                incarnation=zone_peer.incarnation,
                peer_address=zone_peer.peer_address,
                state=member_state.MemberState.DEAD,
            )
            for epoch, zone_peer in self.zone_peers.superseded.items()
        }
        for zone in self.zones.values():
            members.update(zone.members(now_s))
        for epoch, zone_peer in self.zone_peers.by_epoch.items():
            members[epoch] = zones.RemoteMember(
                incarnation=zone_peer.incarnation,
                peer_address=zone_peer.peer_address,
                state=zone_peer.state(now_s),
            )
        return members

    def records(self, now_s: float) -> tuple[messages.MemberRecord, ...]:
        """Return the live instances of this zone, including this one."""
        live = [
            record_of(zone_peer)
            for zone_peer in self.zone_peers.by_epoch.values()
            if zone_peer.state(now_s) is not member_state.MemberState.DEAD
        ]
        return tuple(sorted([self.own_record(), *live]))

    def own_record(self) -> messages.MemberRecord:
        """Return the record of this instance."""
        return messages.MemberRecord(
            address=self.own.incarnation.address,
            epoch=self.own.incarnation.epoch,
            peer_address=self.own.peer_address,
            leaving=self.leaving,
        )

    def report(self, now_s: float) -> messages.ZoneReport:
        """Return the report of this instance on its zone."""
        records = self.records(now_s)
        return messages.ZoneReport(
            zone=self.zone,
            reporter=self.own.incarnation.epoch,
            revision=links.revision_of(records),
            records=records,
        )

    def remote_reports(self, now_s: float) -> list[messages.ZoneReport]:
        """Return the largest current report of each other zone."""
        reports = [zone.largest_report(now_s) for zone in self.zones.values()]
        return [report for report in reports if report is not None]

    def link_targets(self, now_s: float) -> list[names.PeerAddress]:
        """Return the addresses in other zones that get the zone report."""
        records = self.records(now_s)
        own = self.own.incarnation.epoch
        targets = [
            links.link_target(
                own, (self.zone, name), records, zone.live_records(now_s)
            )
            for name, zone in self.zones.items()
        ]
        return [record.peer_address for record in targets if record is not None]

    def live_addresses(self, now_s: float) -> set[names.PeerAddress]:
        """Return the peer addresses of all instances that are not dead."""
        return {
            member.peer_address
            for member in self.members(now_s).values()
            if member.state is not member_state.MemberState.DEAD
        }

    def live_zone_peers(self, now_s: float) -> list[zone_peers.ZonePeer]:
        """Return the instances of this zone that are not dead."""
        return [
            zone_peer
            for zone_peer in self.zone_peers.by_epoch.values()
            if zone_peer.state(now_s) is not member_state.MemberState.DEAD
        ]

    def is_isolated(self, now_s: float) -> bool:
        """Return whether all other instances of the zone are dead."""
        if self.live_zone_peers(now_s):
            self.had_zone_peer = True
            return False
        return self.had_zone_peer

    def observation_time_s(self, now_s: float) -> float:
        """Return the seconds since the start or the last local pause."""
        if self.observing_since_s is None:
            return 0
        return now_s - self.observing_since_s

    def discount_local_pause(self, now_s: float) -> float:
        """Extend all time-outs by a pause of this process, if there was one.

        Without this, every peer would look dead after the pause.

        Args:
            now_s: Current monotonic time in seconds.

        Returns:
            Length of the pause in seconds; 0 if there was none.
        """
        previous_tick_s = (
            now_s if self.last_tick_s is None else self.last_tick_s
        )
        self.last_tick_s = now_s
        pause_s = now_s - previous_tick_s
        if self.observing_since_s is None:
            self.observing_since_s = now_s
        if pause_s < timing.LOCAL_PAUSE_S:
            return 0
        self.observing_since_s = now_s
        self.zone_peers.discount_pause(pause_s)
        for zone in self.zones.values():
            zone.discount_pause(pause_s)
        return pause_s


def record_of(zone_peer: zone_peers.ZonePeer) -> messages.MemberRecord:
    """Return the member record of a zone peer."""
    heartbeat = zone_peer.heartbeat
    return messages.MemberRecord(
        address=zone_peer.incarnation.address,
        epoch=zone_peer.incarnation.epoch,
        peer_address=zone_peer.peer_address,
        leaving=heartbeat is not None and heartbeat.leaving,
    )
