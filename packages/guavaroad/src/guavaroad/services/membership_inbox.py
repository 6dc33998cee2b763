"""Hands the messages of membership from the bus to the domain."""

from collections.abc import Callable

from guavaroad.domain import names
from guavaroad.domain.membership import listener, messages, speaker
from guavaroad.ports import peers

OnMark = Callable[
    [names.PeerAddress, names.AvailabilityZone, messages.ConfigMark], None
]


class Inbox:
    """Takes every message of membership."""

    def __init__(
        self,
        *,
        hears: listener.Listener,
        now: Callable[[], float],
        send: Callable[[list[speaker.Outgoing]], None],
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
        bus.subscribe(messages.ZoneNews, self.on_zone_news)
        bus.subscribe(messages.CardsWanted, self.on_cards_wanted)
        bus.subscribe(messages.CardsSent, self.on_cards)
        bus.subscribe(messages.Probe, self.on_probe)
        bus.subscribe(messages.Vouch, self.on_vouch)

    def on_heartbeat(
        self, peer: peers.Peer, heartbeat: messages.Heartbeat
    ) -> None:
        """Take a heartbeat."""
        now_s = self.now()
        self.send(self.listener.heard(contact(peer), heartbeat, now_s))
        self.marked(peer, heartbeat.config)
        self.look()

    def on_zone_news(self, peer: peers.Peer, news: messages.ZoneNews) -> None:
        """Take a report of a zone."""
        now_s = self.now()
        self.send(self.listener.zone_news(contact(peer), news, now_s))
        self.marked(peer, news.config)
        self.look()

    def marked(self, peer: peers.Peer, mark: messages.ConfigMark) -> None:
        """Tell what the sender knows of the configuration."""
        for followed in self.on_mark:
            followed(
                peer.peer_address, peer.incarnation.availability_zone, mark
            )

    def on_cards_wanted(
        self, peer: peers.Peer, wanted: messages.CardsWanted
    ) -> None:
        """Answer with the cards of a revision."""
        now_s = self.now()
        self.send(self.listener.cards_wanted(contact(peer), wanted, now_s))

    def on_cards(self, _: peers.Peer, told: messages.CardsSent) -> None:
        """Take the cards of a revision."""
        if told.zone != self.listener.view.zone:
            zone = self.listener.view.zone_named(told.zone)
            zone.learn(told.revision, told.cards)
            self.look()

    def on_probe(self, peer: peers.Peer, probe: messages.Probe) -> None:
        """Answer for an instance of this zone."""
        now_s = self.now()
        self.send(self.listener.probed(contact(peer), probe, now_s))

    def on_vouch(self, _: peers.Peer, vouch: messages.Vouch) -> None:
        """Take another's word for an instance of this zone."""
        now_s = self.now()
        self.listener.view.mates.vouch(vouch.epoch, vouch.silence_ms, now_s)


def contact(peer: peers.Peer) -> listener.Contact:
    """Return the sender of a message."""
    return listener.Contact(
        incarnation=peer.incarnation, peer_address=peer.peer_address
    )
