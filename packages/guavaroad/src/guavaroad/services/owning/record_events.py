"""Acts on what the table is known to say of this owner's submissions."""

import dataclasses
from collections.abc import Callable

from guavaroad.domain import codes, identity, jobs, names
from guavaroad.domain.submissions import holds, messages, records
from guavaroad.services import (
    outcomes,
    requests,
)
from guavaroad.services.owning import (
    ownership,
)


class RecordEvents:
    """Hears the record service on behalf of an owner.

    Attributes:
        moved: Called when another instance turns out to own a submission.
    """

    def __init__(self, *, owned: ownership.SubmissionOwner) -> None:
        self.owned = owned
        self.moved: list[Callable[[outcomes.Entry], object]] = []
        owned.recorder.on_event.append(self.hear)

    def hear(self, event: messages.Event) -> None:
        """Act on what the table is known to say."""
        match event:
            case messages.Queued():
                self.hear_queued(event)
            case messages.Claimed() | messages.Ended():
                self.hear_open(event.submission_id)
            case messages.NotRecorded():
                self.hear_not_recorded(event)
            case messages.Moved():
                self.hear_moved(event)
            case messages.Adopted():
                self.hear_adopted(event.record)

    def hear_queued(self, event: messages.Queued) -> None:
        """Tell the client of a recorded submission; plan its claim."""
        entry = self.owned.outcome_cache.find(event.submission_id)
        if entry is not None and entry.job is not None:
            entry.recorded(before_end=True)
            self.owned.claims.plan(entry.job)

    def hear_open(self, submission_id: names.SubmissionId) -> None:
        """Say the end that waited, or start what may start now."""
        entry = self.owned.outcome_cache.find(submission_id)
        if entry is None:
            return
        if entry.ending is not None:
            self.owned.outcome_cache.close(submission_id, entry.ending)
        elif entry.job is not None:
            self.owned.claims.opened(entry.job)

    def hear_not_recorded(self, event: messages.NotRecorded) -> None:
        """Refuse what may not run without a record; nothing was sent."""
        entry = self.owned.outcome_cache.find(event.submission_id)
        if entry is None or entry.job is None:
            return
        asynchronous = entry.request and entry.request.respond_async
        self.owned.dispatcher.give_up(
            entry.job,
            codes.ResultCode.PLATFORM_AWAY
            if asynchronous
            else codes.ResultCode.KEY_NOT_CHECKED,
        )

    def hear_moved(self, event: messages.Moved) -> None:
        """Give up a submission that another instance owns."""
        self.owned.counters.moved += 1
        entry = self.owned.outcome_cache.find(event.submission_id)
        if entry is None:
            return
        job = entry.job
        self.owned.outcome_cache.close_moved(event.submission_id, event.record)
        if job is not None:
            self.owned.dispatcher.give_up(job, codes.ResultCode.IN_DOUBT)
        for listener in self.moved:
            listener(entry)

    def hear_adopted(self, record: records.Record) -> None:
        """Run a queued submission of a lost owner."""
        kept = self.owned.recorder.group.find(record.submission_id)
        parsed = identity.parse_id(record.submission_id)
        match parsed:
            case identity.ParsedId() if kept and kept.hold:
                self.owned.counters.adopted += 1
                self.adopt(parsed, record, kept.hold)

    def adopt(
        self,
        parsed: identity.ParsedId,
        record: records.Record,
        hold: holds.Hold,
    ) -> None:
        """Queue an adopted submission until its deadline."""
        request = requests.SubmitRequest(
            team=parsed.team,
            job=names.JobName(record.job),
            key=record.submission_id,
            body=record.body,
            authorization='',
            forwarded=False,
        )
        entry = self.owned.outcome_cache.open(
            record.submission_id, self.owned.entry_of(parsed, request)
        )
        checked = self.owned.checker.check(record.submission_id, request)
        match checked:
            case jobs.JobRequest():
                remaining_s = record.deadline_wall_s - self.owned.timers.wall()
                checked = dataclasses.replace(
                    checked, deadline_s=self.owned.timers.now() + remaining_s
                )
        job = self.owned.begin(entry, parsed, record, checked, hold)
        if job.ending is None:
            self.owned.claims.plan(job)
