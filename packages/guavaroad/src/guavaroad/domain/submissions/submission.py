"""State of one submission at its owner.

A task starts at most once: `start` moves it out of `QUEUED`, and only a
`NotStarted` outcome, which proves that nothing ran, moves it back.
"""

import dataclasses

import msgspec

from guavaroad.domain import attempts, codes, jobs, names
from guavaroad.domain.submissions import holds


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskProgress:
    """Mutable state of one task.

    Attributes:
        state: Its state.
        answer: Encoded answer of a task that succeeded.
        detail: Reason of the last attempt that did not succeed.
    """

    state: jobs.TaskState = jobs.TaskState.QUEUED
    answer: msgspec.Raw = dataclasses.field(default_factory=msgspec.Raw)
    detail: str = ''


class Submission:
    """One submission, owned by this incarnation.

    Attributes:
        request: The job as the client sent it.
        hold: Whether the recorded state lets this owner start it.
        tasks: State of each task.
        ending: Code with which the job will end, once it can't complete.
        ending_detail: Reason in one sentence.
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
        """Whether no task may start, as the claim is not confirmed."""
        return self.hold.held()

    def start(self, index: names.TaskIndex) -> bool:
        """Claim a task for an attempt.

        Args:
            index: Index of the task.

        Returns:
            Whether the caller may send the task to an upstream.
        """
        task = self.tasks[index]
        if self.ending or task.state is not jobs.TaskState.QUEUED:
            return False
        if not self.hold.release():
            return False
        task.state = jobs.TaskState.STARTED
        return True

    def finish(
        self, index: names.TaskIndex, outcome: attempts.AttemptOutcome
    ) -> bool:
        """Record the outcome of an attempt.

        Args:
            index: Index of the task.
            outcome: Outcome of the attempt.

        Returns:
            Whether the task may be attempted again.
        """
        task = self.tasks[index]
        match outcome:
            case attempts.Answered():
                task.state = jobs.TaskState.SUCCEEDED
                task.answer = outcome.body
            case attempts.NotStarted():
                task.state = jobs.TaskState.QUEUED
                task.detail = outcome.reason.value
                self.drop_queued()
            case attempts.Failed():
                self.fail_task(task, jobs.TaskState.FAILED, outcome.detail)
            case attempts.Lost():
                self.fail_task(task, jobs.TaskState.LOST, outcome.detail)
        return task.state is jobs.TaskState.QUEUED

    def fail_task(
        self, task: TaskProgress, state: jobs.TaskState, detail: str
    ) -> None:
        """Record a failed attempt and end the job.

        Args:
            task: The task.
            state: `FAILED` or `LOST`.
            detail: Reason in one sentence.
        """
        task.state = state
        task.detail = detail
        lost = state is jobs.TaskState.LOST
        self.end(
            codes.ResultCode.TASK_LOST
            if lost
            else codes.ResultCode.TASK_FAILED,
            detail,
        )

    def end(self, code: codes.ResultCode, detail: str) -> None:
        """End the job early: no queued task starts any more.

        Args:
            code: Reason code; that of the first call is kept.
            detail: Reason in one sentence.
        """
        if self.ending is None:
            self.ending = code
            self.ending_detail = detail
        self.drop_queued()

    def drop_queued(self) -> None:
        """Drop queued tasks if the job is ending."""
        if self.ending is None:
            return
        for task in self.tasks:
            if task.state is jobs.TaskState.QUEUED:
                task.state = jobs.TaskState.DROPPED

    def is_finished(self) -> bool:
        """Return whether no task is queued or running."""
        unfinished = {jobs.TaskState.QUEUED, jobs.TaskState.STARTED}
        return not any(task.state in unfinished for task in self.tasks)

    def outcome(self) -> jobs.JobOutcome:
        """Return the outcome of a finished submission."""
        if self.ending is None:
            return jobs.JobCompleted(
                answers=tuple(task.answer for task in self.tasks)
            )
        code = self.ending_code()
        changed = code is not self.ending
        return jobs.JobNotCompleted(
            code=code,
            detail=codes.info_of(code).meaning
            if changed
            else self.ending_detail,
            tasks=self.reports(),
        )

    def reports(self) -> tuple[jobs.TaskReport, ...]:
        """Return the result of each task."""
        return tuple(
            jobs.TaskReport(
                index=names.TaskIndex(index),
                state=task.state,
                ran=jobs.ran_in_state(task.state),
                detail=task.detail,
            )
            for index, task in enumerate(self.tasks)
        )

    def ending_code(self) -> codes.ResultCode:
        """Return the code of the end, adjusted to whether a task may have run.

        A code that states that nothing ran is replaced if a task may have.
        """
        ended = self.ending or codes.ResultCode.INTERNAL
        ran = any(
            jobs.ran_in_state(task.state) is not codes.Ran.NO
            for task in self.tasks
        )
        match (ended, ran):
            case (codes.ResultCode.DEADLINE_PASSED, True):
                return codes.ResultCode.DEADLINE_DURING_RUN
            case (codes.ResultCode.CANCELLED, True):
                return codes.ResultCode.CANCELLED_DURING_RUN
            case (_, True) if codes.info_of(ended).ran is codes.Ran.NO:
                return codes.ResultCode.TASK_LOST
        return ended
