"""Hands the messages of membership from the bus to the domain."""

from collections.abc import Callable

from guavaroad.domain import names
from guavaroad.domain.membership import (
    heartbeat_receiver,
    heartbeat_sender,
    messages,
)
from guavaroad.ports import peers

OnMark = Callable[
    [names.PeerAddress, names.AvailabilityZone, messages.ConfigMark], None
]


class Inbox:
    """Takes every message of membership."""

    def __init__(
        self,
        *,
        hears: heartbeat_receiver.HeartbeatReceiver,
        now: Callable[[], float],
        send: Callable[[list[heartbeat_sender.Outgoing]], None],
        look: Callable[[], None],
    ) -> None:
        self.listener = hears
        self.now = now
        self.send = send
        self.look = look
        self.on_mark: list[OnMark] = []

    def subscribe(self, bus: peers.PeerBus) -> None:
        """Take every message of membership from the bus."""
        bus.subscribe(messages.Heartbeat, self.on_heartbeat)
        bus.subscribe(messages.ZoneUpdate, self.on_zone_update)
        bus.subscribe(messages.MembersRequest, self.on_members_request)
        bus.subscribe(messages.MembersReply, self.on_members_reply)
        bus.subscribe(messages.Probe, self.on_probe)
        bus.subscribe(messages.ProbeReply, self.on_probe_reply)

    def on_heartbeat(
        self, peer: peers.Peer, heartbeat: messages.Heartbeat
    ) -> None:
        """Take a heartbeat."""
        now_s = self.now()
        self.send(self.listener.on_heartbeat(contact(peer), heartbeat, now_s))
        self.marked(peer, heartbeat.config)
        self.look()

    def on_zone_update(
        self, peer: peers.Peer, news: messages.ZoneUpdate
    ) -> None:
        """Take a report of a zone."""
        now_s = self.now()
        self.send(self.listener.on_zone_update(contact(peer), news, now_s))
        self.marked(peer, news.config)
        self.look()

    def marked(self, peer: peers.Peer, mark: messages.ConfigMark) -> None:
        """Tell what the sender knows of the configuration."""
        for followed in self.on_mark:
            followed(
                peer.peer_address, peer.incarnation.availability_zone, mark
            )

    def on_members_request(
        self, peer: peers.Peer, wanted: messages.MembersRequest
    ) -> None:
        """Answer with the records of a revision."""
        now_s = self.now()
        self.send(
            self.listener.on_members_request(contact(peer), wanted, now_s)
        )

    def on_members_reply(
        self, _: peers.Peer, told: messages.MembersReply
    ) -> None:
        """Take the records of a revision."""
        if told.zone != self.listener.view.zone:
            zone = self.listener.view.get_or_create_zone(told.zone)
            zone.add_revision(told.revision, told.records)
            self.look()

    def on_probe(self, peer: peers.Peer, probe: messages.Probe) -> None:
        """Answer for an instance of this zone."""
        now_s = self.now()
        self.send(self.listener.on_probe(contact(peer), probe, now_s))

    def on_probe_reply(
        self, _: peers.Peer, probe_reply: messages.ProbeReply
    ) -> None:
        """Take another's word for an instance of this zone."""
        now_s = self.now()
        self.listener.view.zone_peers.on_probe_reply(
            probe_reply.epoch, probe_reply.silence_ms, now_s
        )


def contact(peer: peers.Peer) -> heartbeat_receiver.Sender:
    """Return the sender of a message."""
    return heartbeat_receiver.Sender(
        incarnation=peer.incarnation, peer_address=peer.peer_address
    )
