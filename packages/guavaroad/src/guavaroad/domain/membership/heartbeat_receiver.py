"""Processing of received membership messages."""

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
    """Origin of a received message."""

    incarnation: identity.Incarnation
    peer_address: names.PeerAddress


class HeartbeatReceiver:
    """Applies messages from peers to the view and returns the replies."""

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
        """Apply a heartbeat and return the messages to send."""
        if sender.incarnation.epoch == self.view.own.incarnation.epoch:
            return []
        outgoing = self.apply_reports(
            sender.peer_address, heartbeat.reports, now_s
        )
        if sender.incarnation.availability_zone == self.view.zone:
            self.view.zone_peers.apply_heartbeat(
                zone_peers.ZonePeer(
                    incarnation=sender.incarnation,
                    peer_address=sender.peer_address,
                    last_heartbeat_s=now_s,
                    heartbeat=heartbeat,
                )
            )
        else:
            self.on_remote_heartbeat(sender, heartbeat, now_s)
        if heartbeat.hello:
            outgoing.extend(self.answer_hello(sender, now_s))
        return outgoing

    def on_remote_heartbeat(
        self, sender: Sender, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        """Apply a heartbeat from another zone as a report on its sender."""
        record = messages.MemberRecord(
            address=sender.incarnation.address,
            epoch=sender.incarnation.epoch,
            peer_address=sender.peer_address,
            leaving=heartbeat.leaving,
        )
        zone = self.view.get_or_create_zone(
            sender.incarnation.availability_zone
        )
        zone.apply_report(
            messages.ZoneReport(
                zone=zone.name,
                # A reporter id of its own keeps this record from replacing
                # a full zone report from the same sender.
                reporter=names.Epoch(f'{record.epoch}:greeting'),
                revision=links.revision_of((record,)),
                records=(record,),
            ),
            now_s,
        )

    def answer_hello(
        self, sender: Sender, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Return a heartbeat and the reports of all live zones."""
        reports = [self.view.report(now_s), *self.view.remote_reports(now_s)]
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
        self, sender: Sender, update: messages.ZoneUpdate, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Apply a zone report and forward it with the next heartbeat."""
        if update.report.zone == self.view.zone:
            self.add_seeds(update.report.records)
            return self.sender.hello_heartbeats(now_s)
        zone = self.view.get_or_create_zone(update.report.zone)
        is_new_revision = update.report.revision not in zone.revisions
        outgoing = self.apply_reports(
            sender.peer_address, (update.report,), now_s
        )
        reporter = update.report.reporter
        self.sender.fresh_reports[reporter] = update.report
        if is_new_revision:
            outgoing.extend(
                self.sender.to_zone_peers(self.sender.heartbeat(), now_s)
            )
        self.sender.fresh_reports[reporter] = msgspec.structs.replace(
            update.report, records=()
        )
        return outgoing

    def add_seeds(self, records: tuple[messages.MemberRecord, ...]) -> None:
        """Add the addresses of zone peers to the seeds."""
        for record in records:
            if record.peer_address not in self.sender.seeds:
                self.sender.seeds.append(record.peer_address)
        self.sender.next_seed = 0

    def apply_reports(
        self,
        sender: names.PeerAddress,
        reports: tuple[messages.ZoneReport, ...],
        now_s: float,
    ) -> list[heartbeat_sender.Outgoing]:
        """Apply reports and request the records of unknown revisions."""
        remote = [
            zone_report
            for zone_report in reports
            if zone_report.zone != self.view.zone
        ]
        return [
            heartbeat_sender.Outgoing(
                to=sender,
                message=messages.MembersRequest(
                    zone=report.zone, revision=report.revision
                ),
            )
            for report in remote
            if not self.view.get_or_create_zone(report.zone).apply_report(
                report, now_s
            )
        ]

    def records_of(
        self, request: messages.MembersRequest, now_s: float
    ) -> tuple[messages.MemberRecord, ...]:
        """Return the records of a revision, or () if it is unknown."""
        if request.zone == self.view.zone:
            report = self.view.report(now_s)
            return report.records if report.revision == request.revision else ()
        zone = self.view.zones.get(request.zone)
        return zone.revisions.get(request.revision, ()) if zone else ()

    def on_members_request(
        self, sender: Sender, request: messages.MembersRequest, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Return a reply with the records of a revision, if it is known."""
        records = self.records_of(request, now_s)
        if not records:
            return []
        reply = messages.MembersReply(
            zone=request.zone, revision=request.revision, records=records
        )
        return [
            heartbeat_sender.Outgoing(to=sender.peer_address, message=reply)
        ]

    def on_probe(
        self, sender: Sender, probe: messages.Probe, now_s: float
    ) -> list[heartbeat_sender.Outgoing]:
        """Return a reply with the age of an instance's last heartbeat."""
        heartbeat_age_ms = self.view.zone_peers.heartbeat_age_ms(
            probe.epoch, now_s
        )
        if heartbeat_age_ms is None:
            return []
        probe_reply = messages.ProbeReply(
            epoch=probe.epoch, heartbeat_age_ms=heartbeat_age_ms
        )
        return [
            heartbeat_sender.Outgoing(
                to=sender.peer_address, message=probe_reply
            )
        ]
