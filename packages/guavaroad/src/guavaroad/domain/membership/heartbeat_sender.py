"""What membership says by itself, without any input or output."""

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

_GREETINGS_PER_TICK: Final = 8
_PROBES: Final = 3
# Revision of the last report and whom it went to.
Told = tuple[int | names.PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A message to send."""

    to: names.PeerAddress
    message: msgspec.Struct


@dataclasses.dataclass(slots=True, kw_only=True)
class HeartbeatSources:
    """What the other parts show to peers in a heartbeat.

    Attributes:
        load: Returns the tasks queued here.
        config: Returns what is known of the configuration.
        extension: Values by name, read for each heartbeat.
    """

    load: Callable[[], int] = int
    config: Callable[[], messages.ConfigMark] = messages.ConfigMark
    extension: dict[str, Callable[[], Any]] = dataclasses.field(
        default_factory=dict
    )


class HeartbeatSender:
    """Turns ticks into messages to send."""

    def __init__(
        self, *, membership_view: view.View, sources: HeartbeatSources
    ) -> None:
        self.view = membership_view
        self.sources = sources
        self.sequence = 0
        self.seeds: list[names.PeerAddress] = []
        self.next_seed = 0
        self.fresh_reports: dict[names.Epoch, messages.ZoneReport] = {}
        self.last_told: Told = ()

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages of one period."""
        heartbeat = self.heartbeat()
        self.fresh_reports.clear()
        sent = self.to_zone_peers(heartbeat, now_s)
        sent.extend(self.greetings(now_s))
        sent.extend(self.to_zones(now_s))
        sent.extend(self.probes(now_s))
        return sent

    def to_zone_peers(
        self, message: msgspec.Struct, now_s: float
    ) -> list[Outgoing]:
        """Address a message to every live instance of this zone."""
        return [
            Outgoing(to=zone_peer.peer_address, message=message)
            for zone_peer in self.view.live_zone_peers(now_s)
        ]

    def to_zones(self, now_s: float) -> list[Outgoing]:
        """Report this zone over the links that this instance keeps."""
        report = self.view.report(now_s)
        targets = self.view.link_targets(now_s)
        told: Told = (report.revision, *targets)
        if told == self.last_told:
            # Whoever missed the records asks for them by their revision.
            report = msgspec.structs.replace(report, records=())
        self.last_told = told
        news = messages.ZoneUpdate(report=report, config=self.sources.config())
        return [Outgoing(to=address, message=news) for address in targets]

    def changes(self, now_s: float) -> list[Outgoing]:
        """Report this zone at once if it or the links changed."""
        report = self.view.report(now_s)
        told = (report.revision, *self.view.link_targets(now_s))
        return [] if told == self.last_told else self.to_zones(now_s)

    def heartbeat(self, *, hello: bool = False) -> messages.Heartbeat:
        """Return the next heartbeat."""
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

    def greetings(self, now_s: float) -> list[Outgoing]:
        """Greet a few addresses where nobody is known to live."""
        live = self.view.live_addresses(now_s) | {self.view.own.peer_address}
        known = [
            member.peer_address for member in self.view.members(now_s).values()
        ]
        silent = [
            address
            for address in dict.fromkeys([*self.seeds, *known])
            if address not in live
        ]
        start = self.next_seed % max(1, len(silent))
        turned = silent[start:] + silent[:start]
        self.next_seed += _GREETINGS_PER_TICK
        return [
            Outgoing(to=address, message=self.heartbeat(hello=True))
            for address in turned[:_GREETINGS_PER_TICK]
        ]

    def probes(self, now_s: float) -> list[Outgoing]:
        """Ask others about each instance of the zone that fell silent."""
        live = self.view.live_zone_peers(now_s)
        helpers = [
            zone_peer.peer_address
            for zone_peer in live
            if zone_peer.judge(now_s) is member_state.MemberState.ALIVE
        ]
        return [
            Outgoing(
                to=helper,
                message=messages.Probe(epoch=zone_peer.incarnation.epoch),
            )
            for zone_peer in live
            if zone_peer.judge(now_s) is member_state.MemberState.SUSPECT
            for helper in helpers[:_PROBES]
        ]

    def departure_messages(self, now_s: float) -> list[Outgoing]:
        """Return the messages that tell everybody that this one leaves."""
        self.view.leaving = True
        return self.tick(now_s)
