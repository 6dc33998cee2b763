"""Periodic membership messages."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

import msgspec

from guavaroad.domain import names
from guavaroad.domain.membership import (
    member_state,
    messages,
    view,
)

_HELLOS_PER_TICK: Final = 8
_PROBES_PER_SUSPECT: Final = 3
# Revision of the last zone report and the addresses that it was sent to.
SentReport = tuple[int | names.PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A message to send."""

    to: names.PeerAddress
    message: msgspec.Struct


@dataclasses.dataclass(slots=True, kw_only=True)
class HeartbeatSources:
    """Functions that supply the values of each heartbeat.

    Attributes:
        load: Returns the number of queued tasks.
        config: Returns the configuration version.
        extension: Functions for the values of other components, by name.
    """

    load: Callable[[], int] = int
    config: Callable[[], messages.ConfigMark] = messages.ConfigMark
    extension: dict[str, Callable[[], Any]] = dataclasses.field(
        default_factory=dict
    )


class HeartbeatSender:
    """Builds the messages that are sent without a request."""

    def __init__(
        self, *, membership_view: view.View, sources: HeartbeatSources
    ) -> None:
        self.view = membership_view
        self.sources = sources
        self.sequence = 0
        self.seeds: list[names.PeerAddress] = []
        self.next_seed = 0
        self.fresh_reports: dict[names.Epoch, messages.ZoneReport] = {}
        self.last_sent: SentReport = ()

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages of one heartbeat period."""
        heartbeat = self.heartbeat()
        self.fresh_reports.clear()
        outgoing = self.to_zone_peers(heartbeat, now_s)
        outgoing.extend(self.hello_heartbeats(now_s))
        outgoing.extend(self.to_zones(now_s))
        outgoing.extend(self.probes(now_s))
        return outgoing

    def to_zone_peers(
        self, message: msgspec.Struct, now_s: float
    ) -> list[Outgoing]:
        """Return the message for every live instance of this zone."""
        return [
            Outgoing(to=zone_peer.peer_address, message=message)
            for zone_peer in self.view.live_zone_peers(now_s)
        ]

    def to_zones(self, now_s: float) -> list[Outgoing]:
        """Return reports on this zone for its targets in other zones."""
        report = self.view.report(now_s)
        targets = self.view.link_targets(now_s)
        sent_report: SentReport = (report.revision, *targets)
        if sent_report == self.last_sent:
            # A receiver without the records requests them by revision.
            report = msgspec.structs.replace(report, records=())
        self.last_sent = sent_report
        update = messages.ZoneUpdate(
            report=report, config=self.sources.config()
        )
        return [Outgoing(to=address, message=update) for address in targets]

    def changes(self, now_s: float) -> list[Outgoing]:
        """Return zone reports if this zone or the targets have changed."""
        report = self.view.report(now_s)
        sent_report = (report.revision, *self.view.link_targets(now_s))
        return [] if sent_report == self.last_sent else self.to_zones(now_s)

    def heartbeat(self, *, hello: bool = False) -> messages.Heartbeat:
        """Build the next heartbeat.

        Args:
            hello: Whether the receiver should reply with a heartbeat.
        """
        self.sequence += 1
        return messages.Heartbeat(
            sequence=self.sequence,
            started_ms=self.view.own.started_ms,
            hello=hello,
            leaving=self.view.leaving,
            load=self.sources.load(),
            config=self.sources.config(),
            reports=tuple(self.fresh_reports.values()),
            extension={
                name: value() for name, value in self.sources.extension.items()
            },
        )

    def hello_heartbeats(self, now_s: float) -> list[Outgoing]:
        """Return heartbeats for some addresses without a live instance."""
        live = self.view.live_addresses(now_s) | {self.view.own.peer_address}
        known_addresses = [
            member.peer_address for member in self.view.members(now_s).values()
        ]
        unreachable = [
            address
            for address in dict.fromkeys([*self.seeds, *known_addresses])
            if address not in live
        ]
        start = self.next_seed % max(1, len(unreachable))
        rotated = unreachable[start:] + unreachable[:start]
        self.next_seed += _HELLOS_PER_TICK
        return [
            Outgoing(to=address, message=self.heartbeat(hello=True))
            for address in rotated[:_HELLOS_PER_TICK]
        ]

    def probes(self, now_s: float) -> list[Outgoing]:
        """Return probes about the suspected instances of this zone."""
        live = self.view.live_zone_peers(now_s)
        probe_targets = [
            zone_peer.peer_address
            for zone_peer in live
            if zone_peer.state(now_s) is member_state.MemberState.ALIVE
        ]
        return [
            Outgoing(
                to=address,
                message=messages.Probe(epoch=zone_peer.incarnation.epoch),
            )
            for zone_peer in live
            if zone_peer.state(now_s) is member_state.MemberState.SUSPECT
            for address in probe_targets[:_PROBES_PER_SUSPECT]
        ]

    def departure_messages(self, now_s: float) -> list[Outgoing]:
        """Mark this instance as leaving and return the messages about it."""
        self.view.leaving = True
        return self.tick(now_s)
