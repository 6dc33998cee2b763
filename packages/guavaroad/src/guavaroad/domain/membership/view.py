"""The view of one instance: its zone peers and the other zones."""

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
    """This instance.

    Attributes:
        incarnation: This process.
        peer_address: Where it takes messages.
        started_ms: Wall-clock time of its start, milliseconds.
    """

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    started_ms: int


class View:
    """What this instance believes of every other one."""

    def __init__(self, *, own: LocalInstance) -> None:
        self.own = own
        self.zone = own.incarnation.availability_zone
        self.zone_peers = zone_peers.ZonePeers()
        self.zones: dict[names.AvailabilityZone, zones.Zone] = {}
        self.leaving = False
        self.last_tick_s: float | None = None
        self.watching_since_s: float | None = None
        self.had_zone_peer = False

    def get_or_create_zone(self, name: names.AvailabilityZone) -> zones.Zone:
        """Return another zone, new if it is unknown."""
        known = self.zones.get(name)
        if known is None:
            known = zones.Zone(name=name)
            self.zones[name] = known
        return known

    def members(self, now_s: float) -> dict[names.Epoch, zones.RemoteMember]:
        """Return every other instance with its state."""
        found = {
            epoch: zones.RemoteMember(
                incarnation=zone_peer.incarnation,
                peer_address=zone_peer.peer_address,
                state=member_state.MemberState.DEAD,
            )
            for epoch, zone_peer in self.zone_peers.superseded.items()
        }
        for zone in self.zones.values():
            found.update(zone.members(now_s))
        for epoch, zone_peer in self.zone_peers.by_epoch.items():
            found[epoch] = zones.RemoteMember(
                incarnation=zone_peer.incarnation,
                peer_address=zone_peer.peer_address,
                state=zone_peer.judge(now_s),
            )
        return found

    def records(self, now_s: float) -> tuple[messages.MemberRecord, ...]:
        """Return the live instances of this zone, this one too."""
        live = [
            record_of(zone_peer)
            for zone_peer in self.zone_peers.by_epoch.values()
            if zone_peer.judge(now_s) is not member_state.MemberState.DEAD
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

    def foreign_reports(self, now_s: float) -> list[messages.ZoneReport]:
        """Return the freshest report of each live zone, for a newcomer."""
        found = [zone.freshest(now_s) for zone in self.zones.values()]
        return [report for report in found if report is not None]

    def link_targets(self, now_s: float) -> list[names.PeerAddress]:
        """Return whom in other zones this instance reports to."""
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
        """Return the peer addresses that need no greeting."""
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
            if zone_peer.judge(now_s) is not member_state.MemberState.DEAD
        ]

    def is_isolated(self, now_s: float) -> bool:
        """Return whether the zone had another instance and none is heard."""
        if self.live_zone_peers(now_s):
            self.had_zone_peer = True
            return False
        return self.had_zone_peer

    def observation_time_s(self, now_s: float) -> float:
        """Return for how long this instance has listened without a gap."""
        if self.watching_since_s is None:
            return 0
        return now_s - self.watching_since_s

    def discount_local_pause(self, now_s: float) -> float:
        """Notice that this process stood still, and judge nobody by it.

        Args:
            now_s: Present time, seconds.

        Returns:
            Seconds that it stood still; 0 if it did not.
        """
        before_s = now_s if self.last_tick_s is None else self.last_tick_s
        self.last_tick_s = now_s
        gap_s = now_s - before_s
        if self.watching_since_s is None:
            self.watching_since_s = now_s
        if gap_s < timing.OWN_GAP_S:
            return 0
        self.watching_since_s = now_s
        self.zone_peers.excuse(gap_s)
        for zone in self.zones.values():
            zone.excuse(gap_s)
        return gap_s


def record_of(zone_peer: zone_peers.ZonePeer) -> messages.MemberRecord:
    """Return the record of a zone peer."""
    heartbeat = zone_peer.heartbeat
    return messages.MemberRecord(
        address=zone_peer.incarnation.address,
        epoch=zone_peer.incarnation.epoch,
        peer_address=zone_peer.peer_address,
        leaving=heartbeat is not None and heartbeat.leaving,
    )
