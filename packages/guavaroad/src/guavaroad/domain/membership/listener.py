"""What membership answers to messages, without any input or output."""

import dataclasses

import msgspec

from guavaroad.domain import identity, names
from guavaroad.domain.membership import links, mates, messages, speaker, view


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Contact:
    """Sender of a message."""

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress


class Listener:
    """Takes the messages of peers into the view, and answers them."""

    def __init__(self, *, known: view.View, speaks: speaker.Speaker) -> None:
        self.view = known
        self.speaker = speaks

    def heard(
        self, sender: Contact, heartbeat: messages.Heartbeat, now_s: float
    ) -> list[speaker.Outgoing]:
        """Take a heartbeat."""
        if sender.incarnation.epoch == self.view.own.incarnation.epoch:
            return []
        sent = self.wants(sender.peer_address, heartbeat.reports, now_s)
        if sender.incarnation.availability_zone == self.view.zone:
            self.view.mates.hear(
                mates.Mate(
                    incarnation=sender.incarnation,
                    peer_address=sender.peer_address,
                    heard_s=now_s,
                    heartbeat=heartbeat,
                )
            )
        else:
            self.heard_far(sender, heartbeat, now_s)
        if heartbeat.hello:
            sent.extend(self.answer_hello(sender, now_s))
        return sent

    def heard_far(
        self, sender: Contact, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        """Take a greeting from another zone as its report on itself."""
        card = messages.Card(
            address=sender.incarnation.address,
            epoch=sender.incarnation.epoch,
            peer_address=sender.peer_address,
            leaving=heartbeat.leaving,
        )
        zone = self.view.zone_named(sender.incarnation.availability_zone)
        zone.take(
            messages.ZoneReport(
                zone=zone.name,
                # Kept apart, so that it hides no fuller report.
                reporter=names.Epoch(f'{card.epoch}:greeting'),
                revision=links.revision_of((card,)),
                cards=(card,),
            ),
            now_s,
        )

    def answer_hello(
        self, sender: Contact, now_s: float
    ) -> list[speaker.Outgoing]:
        """Answer a greeting with a heartbeat and the cards of this zone."""
        reports = [self.view.report(now_s), *self.view.foreign_reports(now_s)]
        answers = [
            messages.ZoneNews(report=report, config=self.speaker.shown.config())
            for report in reports
        ]
        return [
            speaker.Outgoing(to=sender.peer_address, message=answer)
            for answer in (self.speaker.heartbeat(), *answers)
        ]

    def zone_news(
        self, sender: Contact, news: messages.ZoneNews, now_s: float
    ) -> list[speaker.Outgoing]:
        """Take a report of a zone, and pass it on with the next heartbeat."""
        if news.report.zone == self.view.zone:
            self.name_mates(news.report.cards)
            return self.speaker.greetings(now_s)
        zone = self.view.zone_named(news.report.zone)
        is_new = news.report.revision not in zone.revisions
        sent = self.wants(sender.peer_address, (news.report,), now_s)
        reporter = news.report.reporter
        self.speaker.fresh_reports[reporter] = news.report
        if is_new:
            sent.extend(self.speaker.to_mates(self.speaker.heartbeat(), now_s))
        self.speaker.fresh_reports[reporter] = msgspec.structs.replace(
            news.report, cards=()
        )
        return sent

    def name_mates(self, cards: tuple[messages.Card, ...]) -> None:
        """Take the names of zone mates as addresses to greet."""
        for card in cards:
            if card.peer_address not in self.speaker.seeds:
                self.speaker.seeds.append(card.peer_address)
        self.speaker.next_seed = 0

    def wants(
        self,
        sender: names.PeerAddress,
        reports: tuple[messages.ZoneReport, ...],
        now_s: float,
    ) -> list[speaker.Outgoing]:
        """Take reports, and ask for the cards of unknown revisions."""
        foreign = [one for one in reports if one.zone != self.view.zone]
        return [
            speaker.Outgoing(
                to=sender,
                message=messages.CardsWanted(
                    zone=report.zone, revision=report.revision
                ),
            )
            for report in foreign
            if not self.view.zone_named(report.zone).take(report, now_s)
        ]

    def cards_of(
        self, wanted: messages.CardsWanted, now_s: float
    ) -> tuple[messages.Card, ...]:
        """Return the cards of a revision, none if they are not known."""
        if wanted.zone == self.view.zone:
            report = self.view.report(now_s)
            return report.cards if report.revision == wanted.revision else ()
        zone = self.view.zones.get(wanted.zone)
        return zone.revisions.get(wanted.revision, ()) if zone else ()

    def cards_wanted(
        self, sender: Contact, wanted: messages.CardsWanted, now_s: float
    ) -> list[speaker.Outgoing]:
        """Send the cards of a revision, if they are known."""
        cards = self.cards_of(wanted, now_s)
        if not cards:
            return []
        told = messages.CardsSent(
            zone=wanted.zone, revision=wanted.revision, cards=cards
        )
        return [speaker.Outgoing(to=sender.peer_address, message=told)]

    def probed(
        self, sender: Contact, probe: messages.Probe, now_s: float
    ) -> list[speaker.Outgoing]:
        """Say how long an instance has been silent here."""
        silence_ms = self.view.mates.silence_ms(probe.epoch, now_s)
        if silence_ms is None:
            return []
        vouch = messages.Vouch(epoch=probe.epoch, silence_ms=silence_ms)
        return [speaker.Outgoing(to=sender.peer_address, message=vouch)]
