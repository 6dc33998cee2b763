"""Applies events of the record service to this owner's submissions."""

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
    """Handles the events of the record service for an owner.

    Attributes:
        on_submission_moved: Called when another instance turns out to own a
            submission.
    """

    def __init__(self, *, owner: ownership.SubmissionOwner) -> None:
        self.owner = owner
        self.on_submission_moved: list[Callable[[outcomes.Entry], object]] = []
        owner.recorder.on_event.append(self.on_event)

    def on_event(self, event: messages.Event) -> None:
        """Handle an event."""
        match event:
            case messages.Queued():
                self.on_queued(event)
            case messages.Claimed() | messages.Ended():
                self.on_claimed_or_ended(event.submission_id)
            case messages.NotRecorded():
                self.on_not_recorded(event)
            case messages.Moved():
                self.on_moved(event)
            case messages.Adopted():
                self.on_adopted(event.record)

    def on_queued(self, event: messages.Queued) -> None:
        """Notify the client of a recorded submission, and plan its claim."""
        entry = self.owner.outcome_cache.find(event.submission_id)
        if entry is not None and entry.job is not None:
            entry.notify_recorded(before_end=True)
            self.owner.claims.plan(entry.job)

    def on_claimed_or_ended(self, submission_id: names.SubmissionId) -> None:
        """Report an end that was not reported yet, or release a claimed job."""
        entry = self.owner.outcome_cache.find(submission_id)
        if entry is None:
            return
        if entry.ending is not None:
            self.owner.outcome_cache.close(submission_id, entry.ending)
        elif entry.job is not None:
            self.owner.claims.on_claimed(entry.job)

    def on_not_recorded(self, event: messages.NotRecorded) -> None:
        """Refuse a submission that may not run without its record.

        None of its tasks was sent to an upstream.
        """
        entry = self.owner.outcome_cache.find(event.submission_id)
        if entry is None or entry.job is None:
            return
        asynchronous = entry.request and entry.request.respond_async
        self.owner.dispatcher.end_submission(
            entry.job,
            codes.ResultCode.PLATFORM_AWAY
            if asynchronous
            else codes.ResultCode.KEY_NOT_CHECKED,
        )

    def on_moved(self, event: messages.Moved) -> None:
        """End a submission here that another instance owns."""
        self.owner.counters.moved += 1
        entry = self.owner.outcome_cache.find(event.submission_id)
        if entry is None:
            return
        job = entry.job
        self.owner.outcome_cache.close_moved(event.submission_id, event.record)
        if job is not None:
            self.owner.dispatcher.end_submission(job, codes.ResultCode.IN_DOUBT)
        for callback in self.on_submission_moved:
            callback(entry)

    def on_adopted(self, record: records.Record) -> None:
        """Run a queued submission of a lost owner."""
        kept_record = self.owner.recorder.group.find(record.submission_id)
        parsed = identity.parse_id(record.submission_id)
        match parsed:
            case identity.ParsedId() if kept_record and kept_record.hold:
                self.owner.counters.adopted += 1
                self.adopt(parsed, record, kept_record.hold)

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
        entry = self.owner.outcome_cache.open(
            record.submission_id, self.owner.new_entry(parsed, request)
        )
        checked = self.owner.checker.check(record.submission_id, request)
        match checked:
            case jobs.JobRequest():
                remaining_s = record.deadline_wall_s - self.owner.timers.wall()
                checked = dataclasses.replace(
                    checked, deadline_s=self.owner.timers.now() + remaining_s
                )
        job = self.owner.enqueue_or_end(entry, parsed, record, checked, hold)
        if job.ending is None:
            self.owner.claims.plan(job)
