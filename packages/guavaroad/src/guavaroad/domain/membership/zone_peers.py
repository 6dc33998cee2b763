"""The instances of this zone, heard directly or answered for."""

import dataclasses
from typing import Any, Final

from guavaroad.domain import identity, names
from guavaroad.domain.membership import member_state, messages, timing

_MAX_SUPERSEDED: Final = 1024
_MS: Final = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class ZonePeer:
    """Another instance of this zone.

    Attributes:
        incarnation: The process.
        peer_address: Where it takes messages.
        last_heartbeat_s: Time of its last word, seconds.
        heartbeat: Its last heartbeat; none if it was only named by others.
    """

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    last_heartbeat_s: float
    heartbeat: messages.Heartbeat | None = None

    def judge(self, now_s: float) -> member_state.MemberState:
        """Judge it by its silence."""
        silence_s = now_s - self.last_heartbeat_s
        leaving = self.heartbeat is not None and self.heartbeat.leaving
        dead_s = timing.SUSPECT_S if leaving else timing.DEAD_S
        if silence_s >= dead_s:
            return member_state.MemberState.DEAD
        if leaving:
            return member_state.MemberState.LEAVING
        if silence_s >= timing.SUSPECT_S:
            return member_state.MemberState.SUSPECT
        return member_state.MemberState.ALIVE

    def config(self) -> messages.ConfigMark:
        """Return what it knows of the configuration."""
        if self.heartbeat is None:
            return messages.ConfigMark()
        return self.heartbeat.config

    def extension(self) -> dict[str, Any]:
        """Return the values that other parts added to its heartbeat."""
        return self.heartbeat.extension if self.heartbeat else {}

    def started_ms(self) -> int:
        """Return when its process started, 0 if that is not known."""
        return self.heartbeat.started_ms if self.heartbeat else 0


class ZonePeers:
    """Every known instance of this zone but this one."""

    def __init__(self) -> None:
        self.by_epoch: dict[names.Epoch, ZonePeer] = {}
        self.superseded: dict[names.Epoch, ZonePeer] = {}

    def hear(self, zone_peer: ZonePeer) -> bool:
        """Take a heartbeat that came directly.

        Args:
            zone_peer: The sender with its heartbeat.

        Returns:
            Whether it counts; a process that was replaced does not.
        """
        if zone_peer.incarnation.epoch in self.superseded:
            return False
        if not self.supersede(zone_peer):
            return False
        known = self.by_epoch.get(zone_peer.incarnation.epoch)
        if known is not None and is_older(zone_peer, known):
            return False
        self.by_epoch[zone_peer.incarnation.epoch] = zone_peer
        return True

    def supersede(self, zone_peer: ZonePeer) -> bool:
        """Declare an earlier process at the same address dead.

        Args:
            zone_peer: A process that was heard.

        Returns:
            Whether it is the latest process at its address.
        """
        for known in tuple(self.by_epoch.values()):
            if known.peer_address != zone_peer.peer_address:
                continue
            if known.incarnation.epoch == zone_peer.incarnation.epoch:
                continue
            if known.started_ms() > zone_peer.started_ms():
                return False
            self.by_epoch.pop(known.incarnation.epoch)
            self.superseded[known.incarnation.epoch] = known
        while len(self.superseded) > _MAX_SUPERSEDED:
            self.superseded.pop(next(iter(self.superseded)))
        return True

    def name(self, zone_peer: ZonePeer) -> bool:
        """Take note of an instance that a third one named.

        Args:
            zone_peer: The instance; it is not alive before it is heard.

        Returns:
            Whether it was not known.
        """
        epoch = zone_peer.incarnation.epoch
        if epoch in self.by_epoch or epoch in self.superseded:
            return False
        taken = {known.peer_address for known in self.by_epoch.values()}
        if zone_peer.peer_address in taken:
            return False
        self.by_epoch[epoch] = zone_peer
        return True

    def on_probe_reply(
        self, epoch: names.Epoch, silence_ms: int, now_s: float
    ) -> None:
        """Take a third instance's word on when one was last heard."""
        known = self.by_epoch.get(epoch)
        if known is not None and silence_ms < timing.VOUCH_S * _MS:
            heard_s = now_s - silence_ms / _MS
            known.last_heartbeat_s = max(known.last_heartbeat_s, heard_s)

    def silence_ms(self, epoch: names.Epoch, now_s: float) -> int | None:
        """Return how long an instance has been silent, if it is known."""
        known = self.by_epoch.get(epoch)
        if known is None or known.heartbeat is None:
            return None
        return round((now_s - known.last_heartbeat_s) * _MS)

    def excuse(self, gap_s: float) -> None:
        """Forgive everyone a gap in which this process stood still."""
        for known in self.by_epoch.values():
            known.last_heartbeat_s += gap_s

    def evict_dead(self, now_s: float) -> list[ZonePeer]:
        """Drop and return those that have been dead for long."""
        gone = [
            known
            for known in self.by_epoch.values()
            if now_s - known.last_heartbeat_s > timing.FORGET_S
        ]
        for known in gone:
            self.by_epoch.pop(known.incarnation.epoch)
        return gone


def is_older(zone_peer: ZonePeer, known: ZonePeer) -> bool:
    """Return whether a heartbeat was overtaken by a later one."""
    if zone_peer.heartbeat is None or known.heartbeat is None:
        return False
    return zone_peer.heartbeat.sequence <= known.heartbeat.sequence
