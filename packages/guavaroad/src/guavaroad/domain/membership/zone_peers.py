"""State of the other instances of this zone."""

import dataclasses
from typing import Any, Final

from guavaroad.domain import identity, names
from guavaroad.domain.membership import member_state, messages, timing

_MAX_SUPERSEDED: Final = 1024
_MS_PER_S: Final = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class ZonePeer:
    """Another instance of this zone.

    Attributes:
        incarnation: Incarnation of the process.
        peer_address: Address that receives peer messages.
        last_heartbeat_s: Monotonic time of the last heartbeat, in seconds.
        heartbeat: Last heartbeat; None if only a third instance reported it.
    """

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress
    last_heartbeat_s: float
    heartbeat: messages.Heartbeat | None = None

    def state(self, now_s: float) -> member_state.MemberState:
        """Return the state that follows from the age of the heartbeat."""
        heartbeat_age_s = now_s - self.last_heartbeat_s
        leaving = self.heartbeat is not None and self.heartbeat.leaving
        dead_timeout_s = (
            timing.SUSPECT_TIMEOUT_S if leaving else timing.DEAD_TIMEOUT_S
        )
        if heartbeat_age_s >= dead_timeout_s:
            return member_state.MemberState.DEAD
        if leaving:
            return member_state.MemberState.LEAVING
        if heartbeat_age_s >= timing.SUSPECT_TIMEOUT_S:
            return member_state.MemberState.SUSPECT
        return member_state.MemberState.ALIVE

    def config(self) -> messages.ConfigMark:
        """Return the configuration version of the instance."""
        if self.heartbeat is None:
            return messages.ConfigMark()
        return self.heartbeat.config

    def extension(self) -> dict[str, Any]:
        """Return the heartbeat values of other components, by name."""
        return self.heartbeat.extension if self.heartbeat else {}

    def started_ms(self) -> int:
        """Return the start time of the process in ms; 0 if unknown."""
        return self.heartbeat.started_ms if self.heartbeat else 0


class ZonePeers:
    """All known instances of this zone except this one."""

    def __init__(self) -> None:
        self.by_epoch: dict[names.Epoch, ZonePeer] = {}
        self.superseded: dict[names.Epoch, ZonePeer] = {}

    def apply_heartbeat(self, zone_peer: ZonePeer) -> bool:
        """Apply a heartbeat received from its sender.

        Args:
            zone_peer: Sender with its heartbeat.

        Returns:
            Whether the heartbeat was applied.  Those of superseded processes
            and those overtaken by a later heartbeat are ignored.
        """
        if zone_peer.incarnation.epoch in self.superseded:
            return False
        if not self.supersede(zone_peer):
            return False
        known_peer = self.by_epoch.get(zone_peer.incarnation.epoch)
        if known_peer is not None and is_older(zone_peer, known_peer):
            return False
        self.by_epoch[zone_peer.incarnation.epoch] = zone_peer
        return True

    def supersede(self, zone_peer: ZonePeer) -> bool:
        """Mark earlier processes at the same address as dead.

        Args:
            zone_peer: Process that sent a heartbeat.

        Returns:
            Whether it is the latest process at its address.
        """
        for known_peer in tuple(self.by_epoch.values()):
            if known_peer.peer_address != zone_peer.peer_address:
                continue
            if known_peer.incarnation.epoch == zone_peer.incarnation.epoch:
                continue
            if known_peer.started_ms() > zone_peer.started_ms():
                return False
            self.by_epoch.pop(known_peer.incarnation.epoch)
            self.superseded[known_peer.incarnation.epoch] = known_peer
        while len(self.superseded) > _MAX_SUPERSEDED:
            self.superseded.pop(next(iter(self.superseded)))
        return True

    def add_reported(self, zone_peer: ZonePeer) -> bool:
        """Add an instance reported by a third instance.

        Args:
            zone_peer: Instance without a heartbeat.

        Returns:
            Whether the instance was added.
        """
        epoch = zone_peer.incarnation.epoch
        if epoch in self.by_epoch or epoch in self.superseded:
            return False
        known_addresses = {
            known_peer.peer_address for known_peer in self.by_epoch.values()
        }
        if zone_peer.peer_address in known_addresses:
            return False
        self.by_epoch[epoch] = zone_peer
        return True

    def on_probe_reply(
        self, epoch: names.Epoch, heartbeat_age_ms: int, now_s: float
    ) -> None:
        """Apply the age of a heartbeat that another instance received."""
        known_peer = self.by_epoch.get(epoch)
        if (
            known_peer is not None
            and heartbeat_age_ms < timing.PROBE_REPLY_MAX_AGE_S * _MS_PER_S
        ):
            last_heartbeat_s = now_s - heartbeat_age_ms / _MS_PER_S
            known_peer.last_heartbeat_s = max(
                known_peer.last_heartbeat_s, last_heartbeat_s
            )

    def heartbeat_age_ms(self, epoch: names.Epoch, now_s: float) -> int | None:
        """Return the age of the last heartbeat in ms, if there is one."""
        known_peer = self.by_epoch.get(epoch)
        if known_peer is None or known_peer.heartbeat is None:
            return None
        return round((now_s - known_peer.last_heartbeat_s) * _MS_PER_S)

    def discount_pause(self, pause_s: float) -> None:
        """Move all heartbeat times forward by a pause of this process."""
        for known_peer in self.by_epoch.values():
            known_peer.last_heartbeat_s += pause_s

    def evict_dead(self, now_s: float) -> list[ZonePeer]:
        """Evict and return the instances past the eviction age."""
        evicted = [
            known_peer
            for known_peer in self.by_epoch.values()
            if now_s - known_peer.last_heartbeat_s > timing.EVICTION_AGE_S
        ]
        for known_peer in evicted:
            self.by_epoch.pop(known_peer.incarnation.epoch)
        return evicted


def is_older(zone_peer: ZonePeer, known_peer: ZonePeer) -> bool:
    """Return whether a later heartbeat was received before this one."""
    if zone_peer.heartbeat is None or known_peer.heartbeat is None:
        return False
    return zone_peer.heartbeat.sequence <= known_peer.heartbeat.sequence
