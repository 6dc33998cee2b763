"""Claims recorded submissions ahead of the start of their tasks."""

from typing import Any, Final

from guavaroad.domain import names
from guavaroad.domain.submissions import submission
from guavaroad.ports import timers
from guavaroad.services import dispatch
from guavaroad.services import records as record_service

CLAIM_PERIOD_S: Final = 0.1
CLAIM_AHEAD_S: Final = 0.5
TYPICAL_TASK_S: Final = 0.2


class ClaimService:
    """Keeps enough claimed tasks queued for the slots until the next claims.

    Attributes:
        planned: Queued submissions without a claim, oldest first.
        requested: Submissions whose claim is not written yet.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        recorder: record_service.RecordService,
        timer_service: timers.TimerService,
    ) -> None:
        self.dispatcher = dispatcher
        self.recorder = recorder
        self.planned: dict[names.SubmissionId, submission.Submission] = {}
        self.requested: dict[names.SubmissionId, submission.Submission] = {}
        timer_service.subscribe(CLAIM_PERIOD_S, self.claim_ahead)

    def slot_count(self) -> int:
        """Return the number of slots that this instance may use."""
        uses = self.dispatcher.slots.uses.values()
        return max(1, sum(use.share for use in uses))

    def plan(self, job: submission.Submission) -> None:
        """Add a submission whose `queued` record is written."""
        self.planned[job.request.submission_id] = job
        self.claim_ahead()

    def on_claimed(self, job: submission.Submission) -> None:
        """Release the tasks of a submission whose claim is written."""
        self.remove(job.request.submission_id)
        self.dispatcher.release(job)

    def remove(self, submission_id: names.SubmissionId) -> None:
        """Remove a submission that ended or was claimed."""
        self.planned.pop(submission_id, None)
        self.requested.pop(submission_id, None)

    def claim_ahead(self) -> None:
        """Claim the oldest submissions until enough tasks are claimed."""
        if not self.planned:
            return
        wanted = self.slot_count() * (1 + CLAIM_AHEAD_S / TYPICAL_TASK_S)
        ready = self.dispatcher.queue.task_count - task_count(self.planned)
        for submission_id, job in list(self.planned.items()):
            if ready >= wanted:
                return
            ready += len(job.tasks)
            self.requested[submission_id] = self.planned.pop(submission_id)
            self.recorder.claim(submission_id)

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {'planned': len(self.planned), 'asked': len(self.requested)}


def task_count(
    planned: dict[names.SubmissionId, submission.Submission],
) -> int:
    """Return the number of tasks that wait for a claim."""
    return sum(len(job.tasks) for job in planned.values())
