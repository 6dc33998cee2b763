"""State of one submission at its owner: which task may start, and the end.

A task starts at most once here: `start` moves it out of `QUEUED`, and only a
`NotStarted` outcome, which proves that nothing ran, moves it back.
"""

import dataclasses

import msgspec

from guavaroad.domain import attempts, codes, jobs, names
from guavaroad.domain.submissions import holds


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskProgress:
    """Mutable state of one task."""

    state: jobs.TaskState = jobs.TaskState.QUEUED
    answer: msgspec.Raw = dataclasses.field(default_factory=msgspec.Raw)
    detail: str = ''


class Submission:
    """One submission, owned by this incarnation.

    Attributes:
        request: The job as the client sent it.
        hold: Whether its record lets this owner start it.
        tasks: State of each task.
        ending: Code that the job will end with, once it can't complete.
    """

    def __init__(
        self,
        *,
        request: jobs.JobRequest,
        hold: holds.Hold | None = None,
    ) -> None:
        self.request = request
        self.hold = hold or holds.Hold()
        self.tasks = [TaskProgress() for _ in request.tasks]
        self.ending: codes.ResultCode | None = None
        self.ending_detail = ''

    @property
    def held(self) -> bool:
        """Whether no task may start: the claim is not known written."""
        return self.hold.held()

    def start(self, index: names.TaskIndex) -> bool:
        """Claim a task for its one attempt.

        Args:
            index: Task to start.

        Returns:
            Whether the caller may hand the task to an upstream.
        """
        slot = self.tasks[index]
        if self.ending or slot.state is not jobs.TaskState.QUEUED:
            return False
        if not self.hold.release():
            return False
        slot.state = jobs.TaskState.STARTED
        return True

    def finish(
        self, index: names.TaskIndex, outcome: attempts.AttemptOutcome
    ) -> bool:
        """Take the outcome of an attempt.

        Args:
            index: Task that was attempted.
            outcome: What the upstream side reported.

        Returns:
            Whether the task may be attempted again.
        """
        slot = self.tasks[index]
        match outcome:
            case attempts.Answered():
                slot.state = jobs.TaskState.SUCCEEDED
                slot.answer = outcome.body
            case attempts.NotStarted():
                slot.state = jobs.TaskState.QUEUED
                slot.detail = outcome.reason.value
                self.drop_queued()
            case attempts.Failed():
                self.fail_task(slot, jobs.TaskState.FAILED, outcome.detail)
            case attempts.Lost():
                self.fail_task(slot, jobs.TaskState.LOST, outcome.detail)
        return slot.state is jobs.TaskState.QUEUED

    def fail_task(
        self, slot: TaskProgress, state: jobs.TaskState, detail: str
    ) -> None:
        """Record a failed attempt and end the job."""
        slot.state = state
        slot.detail = detail
        lost = state is jobs.TaskState.LOST
        self.end(
            codes.ResultCode.TASK_LOST
            if lost
            else codes.ResultCode.TASK_FAILED,
            detail,
        )

    def end(self, code: codes.ResultCode, detail: str) -> None:
        """Give the job up: nothing queued starts any more.

        Args:
            code: Why; the first call wins.
            detail: Reason in one sentence.
        """
        if self.ending is None:
            self.ending = code
            self.ending_detail = detail
        self.drop_queued()

    def drop_queued(self) -> None:
        """Drop tasks that can no longer start."""
        if self.ending is None:
            return
        for slot in self.tasks:
            if slot.state is jobs.TaskState.QUEUED:
                slot.state = jobs.TaskState.DROPPED

    def is_finished(self) -> bool:
        """Return whether no task is queued or running."""
        waiting = {jobs.TaskState.QUEUED, jobs.TaskState.STARTED}
        return not any(slot.state in waiting for slot in self.tasks)

    def outcome(self) -> jobs.JobOutcome:
        """Return the end of a settled submission: whole or failed."""
        if self.ending is None:
            return jobs.JobCompleted(
                answers=tuple(slot.answer for slot in self.tasks)
            )
        code = self.ending_code()
        changed = code is not self.ending
        return jobs.JobEnded(
            code=code,
            detail=codes.info_of(code).meaning
            if changed
            else self.ending_detail,
            tasks=self.reports(),
        )

    def reports(self) -> tuple[jobs.TaskReport, ...]:
        """Return what became of each task."""
        return tuple(
            jobs.TaskReport(
                index=names.TaskIndex(index),
                state=slot.state,
                ran=jobs.ran_in_state(slot.state),
                detail=slot.detail,
            )
            for index, slot in enumerate(self.tasks)
        )

    def ending_code(self) -> codes.ResultCode:
        """Return the code of the end, truthful about starts."""
        ended = self.ending or codes.ResultCode.INTERNAL
        ran = any(
            jobs.ran_in_state(slot.state) is not codes.Ran.NO
            for slot in self.tasks
        )
        match (ended, ran):
            case (codes.ResultCode.DEADLINE_PASSED, True):
                return codes.ResultCode.DEADLINE_DURING_RUN
            case (codes.ResultCode.CANCELLED, True):
                return codes.ResultCode.CANCELLED_DURING_RUN
            case (_, True) if codes.info_of(ended).ran is codes.Ran.NO:
                return codes.ResultCode.TASK_LOST
        return ended
