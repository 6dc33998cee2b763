"""Handlers of the membership messages that arrive on the bus."""

from collections.abc import Callable

from guavaroad.domain import names
from guavaroad.domain.membership import (
    heartbeat_receiver,
    heartbeat_sender,
    messages,
)
from guavaroad.ports import peers

ConfigMarkCallback = Callable[
    [names.PeerAddress, names.AvailabilityZone, messages.ConfigMark], None
]


class MessageHandlers:
    """Passes membership messages to the heartbeat receiver."""

    def __init__(
        self,
        *,
        receiver: heartbeat_receiver.HeartbeatReceiver,
        now: Callable[[], float],
        send: Callable[[list[heartbeat_sender.Outgoing]], None],
        check_view: Callable[[], None],
    ) -> None:
        self.receiver = receiver
        self.now = now
        self.send = send
        self.check_view = check_view
        self.on_config_mark: list[ConfigMarkCallback] = []

    def subscribe(self, bus: peers.PeerBus) -> None:
        """Subscribe to every membership message of the bus."""
        bus.subscribe(messages.Heartbeat, self.on_heartbeat)
        bus.subscribe(messages.ZoneUpdate, self.on_zone_update)
        bus.subscribe(messages.MembersRequest, self.on_members_request)
        bus.subscribe(messages.MembersReply, self.on_members_reply)
        bus.subscribe(messages.Probe, self.on_probe)
        bus.subscribe(messages.ProbeReply, self.on_probe_reply)

    def on_heartbeat(
        self, peer: peers.Peer, heartbeat: messages.Heartbeat
    ) -> None:
        """Handle a heartbeat."""
        now_s = self.now()
        self.send(self.receiver.on_heartbeat(sender_of(peer), heartbeat, now_s))
        self.report_config_mark(peer, heartbeat.config)
        self.check_view()

    def on_zone_update(
        self, peer: peers.Peer, update: messages.ZoneUpdate
    ) -> None:
        """Handle a report of a zone."""
        now_s = self.now()
        self.send(self.receiver.on_zone_update(sender_of(peer), update, now_s))
        self.report_config_mark(peer, update.config)
        self.check_view()

    def report_config_mark(
        self, peer: peers.Peer, mark: messages.ConfigMark
    ) -> None:
        """Report the sender's configuration mark to the subscribers."""
        for callback in self.on_config_mark:
            callback(
                peer.peer_address, peer.incarnation.availability_zone, mark
            )

    def on_members_request(
        self, peer: peers.Peer, request: messages.MembersRequest
    ) -> None:
        """Answer with the records of a revision."""
        now_s = self.now()
        self.send(
            self.receiver.on_members_request(sender_of(peer), request, now_s)
        )

    def on_members_reply(
        self, _: peers.Peer, reply: messages.MembersReply
    ) -> None:
        """Add the records of a revision of another zone."""
        if reply.zone != self.receiver.view.zone:
            zone = self.receiver.view.get_or_create_zone(reply.zone)
            zone.add_revision(reply.revision, reply.records)
            self.check_view()

    def on_probe(self, peer: peers.Peer, probe: messages.Probe) -> None:
        """Answer a probe about an instance of this zone."""
        now_s = self.now()
        self.send(self.receiver.on_probe(sender_of(peer), probe, now_s))

    def on_probe_reply(
        self, _: peers.Peer, probe_reply: messages.ProbeReply
    ) -> None:
        """Handle a peer's answer about an instance of this zone."""
        now_s = self.now()
        self.receiver.view.zone_peers.on_probe_reply(
            probe_reply.epoch, probe_reply.heartbeat_age_ms, now_s
        )


def sender_of(peer: peers.Peer) -> heartbeat_receiver.Sender:
    """Return the sender of a message."""
    return heartbeat_receiver.Sender(
        incarnation=peer.incarnation, peer_address=peer.peer_address
    )
