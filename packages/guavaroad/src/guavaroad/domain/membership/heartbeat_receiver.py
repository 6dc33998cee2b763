"""What membership answers to messages, without any input or output."""

import dataclasses

import msgspec

from guavaroad.domain import identity, names
from guavaroad.domain.membership import (
    heartbeat_sender,
    links,
    messages,
    view,
    zone_peers,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sender:
    """Sender of a message."""

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress


class HeartbeatReceiver:
    """Takes the messages of peers into the view, and answers them."""

    def __init__(
        self,
        *,
        membership_view: view.View,
        sender: heartbeat_sender.HeartbeatSender,
    ) -> None:
        self.view = membership_view
        self.sender = sender

    def on_heartbeat(
        self, sender: Sender, heartbeat: messages.Heartbeat, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Take a heartbeat."""
        if sender.incarnation.epoch == self.view.own.incarnation.epoch:
            return []
        sent = self.wants(sender.peer_address, heartbeat.reports, now_s)
        if sender.incarnation.availability_zone == self.view.zone:
            self.view.zone_peers.hear(
                zone_peers.ZonePeer(
                    incarnation=sender.incarnation,
                    peer_address=sender.peer_address,
                    last_heartbeat_s=now_s,
                    heartbeat=heartbeat,
                )
            )
        else:
            self.heard_far(sender, heartbeat, now_s)
        if heartbeat.hello:
            sent.extend(self.answer_hello(sender, now_s))
        return sent

    def heard_far(
        self, sender: Sender, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        """Take a greeting from another zone as its report on itself."""
        record = messages.MemberRecord(
            address=sender.incarnation.address,
            epoch=sender.incarnation.epoch,
            peer_address=sender.peer_address,
            leaving=heartbeat.leaving,
        )
        zone = self.view.get_or_create_zone(
            sender.incarnation.availability_zone
        )
        zone.take(
            messages.ZoneReport(
                zone=zone.name,
                # Kept apart, so that it hides no fuller report.
                reporter=names.Epoch(f'{record.epoch}:greeting'),
                revision=links.revision_of((record,)),
                records=(record,),
            ),
            now_s,
        )

    def answer_hello(
        self, sender: Sender, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Answer a greeting with a heartbeat and the records of this zone."""
        reports = [self.view.report(now_s), *self.view.foreign_reports(now_s)]
        answers = [
            messages.ZoneUpdate(
                report=report, config=self.sender.sources.config()
            )
            for report in reports
        ]
        return [
            heartbeat_sender.Outgoing(to=sender.peer_address, message=answer)
            for answer in (self.sender.heartbeat(), *answers)
        ]

    def on_zone_update(
        self, sender: Sender, news: messages.ZoneUpdate, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Take a report of a zone, and pass it on with the next heartbeat."""
        if news.report.zone == self.view.zone:
            self.name_zone_peers(news.report.records)
            return self.sender.greetings(now_s)
        zone = self.view.get_or_create_zone(news.report.zone)
        is_new = news.report.revision not in zone.revisions
        sent = self.wants(sender.peer_address, (news.report,), now_s)
        reporter = news.report.reporter
        self.sender.fresh_reports[reporter] = news.report
        if is_new:
            sent.extend(
                self.sender.to_zone_peers(self.sender.heartbeat(), now_s)
            )
        self.sender.fresh_reports[reporter] = msgspec.structs.replace(
            news.report, records=()
        )
        return sent

    def name_zone_peers(
        self, records: tuple[messages.MemberRecord, ...]
    ) -> None:
        """Take the names of zone peers as addresses to greet."""
        for record in records:
            if record.peer_address not in self.sender.seeds:
                self.sender.seeds.append(record.peer_address)
        self.sender.next_seed = 0

    def wants(
        self,
        sender: names.PeerAddress,
        reports: tuple[messages.ZoneReport, ...],
        now_s: float,
    ) -> list[heartbeat_sender.Outgoing]:
        """Take reports, and ask for the records of unknown revisions."""
        foreign = [one for one in reports if one.zone != self.view.zone]
        return [
            heartbeat_sender.Outgoing(
                to=sender,
                message=messages.MembersRequest(
                    zone=report.zone, revision=report.revision
                ),
            )
            for report in foreign
            if not self.view.get_or_create_zone(report.zone).take(report, now_s)
        ]

    def records_of(
        self, wanted: messages.MembersRequest, now_s: float
    ) -> tuple[messages.MemberRecord, ...]:
        """Return the records of a revision, none if they are not known."""
        if wanted.zone == self.view.zone:
            report = self.view.report(now_s)
            return report.records if report.revision == wanted.revision else ()
        zone = self.view.zones.get(wanted.zone)
        return zone.revisions.get(wanted.revision, ()) if zone else ()

    def on_members_request(
        self, sender: Sender, wanted: messages.MembersRequest, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Send the records of a revision, if they are known."""
        records = self.records_of(wanted, now_s)
        if not records:
            return []
        told = messages.MembersReply(
            zone=wanted.zone, revision=wanted.revision, records=records
        )
        return [heartbeat_sender.Outgoing(to=sender.peer_address, message=told)]

    def on_probe(
        self, sender: Sender, probe: messages.Probe, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Say how long an instance has been silent here."""
        silence_ms = self.view.zone_peers.silence_ms(probe.epoch, now_s)
        if silence_ms is None:
            return []
        probe_reply = messages.ProbeReply(
            epoch=probe.epoch, silence_ms=silence_ms
        )
        return [
            heartbeat_sender.Outgoing(
                to=sender.peer_address, message=probe_reply
            )
        ]
