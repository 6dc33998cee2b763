"""Runs the submissions that this incarnation owns, to their recorded end."""

import dataclasses
from typing import Any, Final

from guavaroad.domain import codes, identity, jobs, names
from guavaroad.domain.submissions import (
    endings,
    holds,
    packing,
    records,
    submission,
)
from guavaroad.ports import timers
from guavaroad.services import (
    dispatch,
    outcomes,
    requests,
)
from guavaroad.services import records as record_service
from guavaroad.services.owning import claims

RECORD_THRESHOLD_S: Final = 1
END_RECORD_TIMEOUT_S: Final = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Counters of submissions."""

    taken: int = 0
    recorded: int = 0
    adopted: int = 0
    moved: int = 0


class SubmissionOwner:
    """Owner of submissions: records, claims, starts and ends them.

    Attributes:
        outcome_cache: Entries of the submissions known here.
    """

    def __init__(
        self,
        *,
        me: str,
        outcome_cache: outcomes.OutcomeCache,
        dispatcher: dispatch.Dispatcher,
        recorder: record_service.RecordService,
        checker: requests.RequestChecker,
        timer_service: timers.TimerService,
    ) -> None:
        self.own_name = me
        self.outcome_cache = outcome_cache
        self.dispatcher = dispatcher
        self.recorder = recorder
        self.checker = checker
        self.timers = timer_service
        self.claims = claims.ClaimService(
            dispatcher=dispatcher,
            recorder=recorder,
            timer_service=timer_service,
        )
        self.counters = Counters()

    def refuse(
        self,
        parsed: identity.ParsedId,
        request: requests.SubmitRequest,
        refusal: jobs.JobNotCompleted,
    ) -> outcomes.Entry:
        """Refuse a submission for good: its id never runs.

        A later copy of the request through another instance gets the same
        refusal; otherwise it could run after the answer "not run".
        """
        submission_id = identity.format_id(parsed)
        entry = self.outcome_cache.open(
            submission_id, self.new_entry(parsed, request)
        )
        detail = refusal.detail or codes.info_of(refusal.code).meaning
        self.outcome_cache.close(
            submission_id, dataclasses.replace(refusal, detail=detail)
        )
        return entry

    def run(
        self,
        parsed: identity.ParsedId,
        request: requests.SubmitRequest,
        checked: jobs.JobRequest,
    ) -> outcomes.Entry:
        """Queue a checked submission, recorded if it may wait for long.

        Args:
            parsed: Its id, minted by this incarnation.
            request: The request.
            checked: The job.

        Returns:
            Its entry in the outcome cache.
        """
        self.counters.taken += 1
        entry = self.outcome_cache.open(
            checked.submission_id, self.new_entry(parsed, request)
        )
        job = submission.Submission(request=checked)
        entry.job = job
        if request.respond_async or self.should_record(checked):
            self.record(parsed, request, job)
        self.dispatcher.enqueue(job, self.on_finished)
        return entry

    def run_inserted(
        self,
        parsed: identity.ParsedId,
        request: requests.SubmitRequest,
        checked: jobs.JobRequest | jobs.JobNotCompleted,
        row_key: str,
    ) -> outcomes.Entry:
        """Queue a submission that starts once its own row is inserted."""
        submission_id = identity.format_id(parsed)
        entry = self.outcome_cache.open(
            submission_id, self.new_entry(parsed, request)
        )
        record = records.Record(
            submission_id=submission_id,
            state=records.RecordState.STARTED,
            owner=self.own_name,
            digest=request.digest(),
            job=request.job,
        )
        hold = holds.Hold()
        self.recorder.insert(row_key, record, hold)
        self.enqueue_or_end(entry, parsed, record, checked, hold)
        return entry

    def enqueue_or_end(
        self,
        entry: outcomes.Entry,
        parsed: identity.ParsedId,
        record: records.Record,
        checked: jobs.JobRequest | jobs.JobNotCompleted,
        hold: holds.Hold,
    ) -> submission.Submission:
        """Queue a recorded submission, or end it at once if it is refused."""
        match checked:
            case jobs.JobRequest():
                job = submission.Submission(request=checked, hold=hold)
                entry.job = job
                self.dispatcher.enqueue(job, self.on_finished)
            case jobs.JobNotCompleted():
                request = request_without_tasks(record, parsed)
                job = submission.Submission(request=request, hold=hold)
                entry.job = job
                job.end(checked.code, checked.detail)
                self.on_finished(job)
        return job

    def should_record(self, checked: jobs.JobRequest) -> bool:
        """Return whether a submission should be recorded.

        With a record, another instance can finish it if this owner dies
        while it is queued.
        """
        if not self.recorder.available:
            return False
        return self.dispatcher.expected_wait_s(checked) > RECORD_THRESHOLD_S

    def record(
        self,
        parsed: identity.ParsedId,
        request: requests.SubmitRequest,
        job: submission.Submission,
    ) -> None:
        """Schedule the `queued` record."""
        self.counters.recorded += 1
        remaining_s = job.request.deadline_s - self.timers.now()
        record = self.new_record(job.request, records.RecordState.QUEUED)
        self.recorder.queue(
            parsed,
            records.with_request(
                record,
                body=request.body,
                deadline_wall_s=self.timers.wall() + remaining_s,
            ),
            hold=job.hold,
            required=request.respond_async,
        )

    def new_record(
        self, checked: jobs.JobRequest, state: records.RecordState
    ) -> records.Record:
        """Return the record of a job, without its request."""
        return records.Record(
            submission_id=checked.submission_id,
            state=state,
            owner=self.own_name,
            digest=checked.digest,
            job=checked.job,
        )

    def new_entry(
        self, parsed: identity.ParsedId, request: requests.SubmitRequest
    ) -> outcomes.Entry:
        """Return a new entry of the outcome cache."""
        minted_here = records.format_owner(parsed.owner) == self.own_name
        return outcomes.Entry(
            digest=request.digest(),
            sequence=parsed.sequence if minted_here else 0,
            request=request,
        )

    def on_finished(self, job: submission.Submission) -> None:
        """Record the end of a submission, and report it when that is safe."""
        submission_id = job.request.submission_id
        self.claims.remove(submission_id)
        entry = self.outcome_cache.find(submission_id)
        parsed = identity.parse_id(submission_id)
        match parsed:
            case identity.ParsedId() if entry is not None:
                self.record_end(parsed, entry, job)

    def record_end(
        self,
        parsed: identity.ParsedId,
        entry: outcomes.Entry,
        job: submission.Submission,
    ) -> None:
        """Schedule the record of an end; report it now or when written."""
        submission_id = job.request.submission_id
        outcome = job.outcome()
        record = records.with_outcome(
            self.new_record(job.request, records.RecordState.DONE),
            packing.pack_outcome(outcome),
        )
        timing = self.recorder.end(parsed, record, job.hold)
        match timing:
            case endings.ReportTiming.IMMEDIATE:
                self.outcome_cache.close(submission_id, outcome)
            case endings.ReportTiming.AFTER_COMMIT:
                entry.ending = outcome
                self.timers.call_after(
                    END_RECORD_TIMEOUT_S, lambda: self.answer_unrecorded(entry)
                )

    def answer_unrecorded(self, entry: outcomes.Entry) -> None:
        """Answer those who wait for an end whose record is not written."""
        if entry.outcome is None and entry.moved is None:
            code = codes.ResultCode.END_NOT_RECORDED
            detail = codes.info_of(code).meaning
            entry.notify(jobs.JobNotCompleted(code=code, detail=detail))

    def cancel(self, job: submission.Submission) -> None:
        """Drop tasks that have not started; running ones finish."""
        self.dispatcher.end_submission(job, codes.ResultCode.CANCELLED)

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            'book': self.outcome_cache.describe(),
            'claims': self.claims.describe(),
            **dataclasses.asdict(self.counters),
        }


def request_without_tasks(
    record: records.Record, parsed: identity.ParsedId
) -> jobs.JobRequest:
    """Return a request without tasks, for a job that is refused."""
    return jobs.JobRequest(
        submission_id=record.submission_id,
        team=parsed.team,
        job=names.JobName(record.job),
        urgency=jobs.Urgency.LOW,
        pool=names.PoolName(''),
        tasks=(),
        deadline_s=0,
        digest=record.digest,
    )
