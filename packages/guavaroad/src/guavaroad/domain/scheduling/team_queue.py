"""Queued jobs of one team within one urgency class."""

from guavaroad.domain import names
from guavaroad.domain.scheduling import entries, ranking


class TeamQueue:
    """Jobs of a team; the one with the fewest running tasks goes next.

    Attributes:
        team: The team.
        used_s: Slot-seconds charged, divided by the team's weight.
        waiting: Tasks that wait.
        running: Tasks that run.
    """

    def __init__(self, *, team: names.TeamName, parked: entries.Parked) -> None:
        self.parked = parked
        self.team = team
        self.used_s: float = 0
        self.waiting = 0
        self.running = 0
        self.jobs: dict[names.SubmissionId, entries.QueuedJob] = {}
        self.ready: ranking.Ranking[names.SubmissionId] = ranking.Ranking()

    def add(self, queued: entries.QueuedJob) -> None:
        """Queue a job."""
        self.jobs[queued.job.request.submission_id] = queued
        self.waiting += len(queued.waiting)
        self.place(queued)

    def remove(self, submission_id: names.SubmissionId) -> None:
        """Forget the waiting tasks of a job."""
        queued = self.jobs.pop(submission_id)
        self.waiting -= len(queued.waiting)
        self.ready.discard(submission_id)
        self.parked.pop(submission_id, None)

    def place(self, queued: entries.QueuedJob) -> None:
        """Rank a job again after a change."""
        submission_id = queued.job.request.submission_id
        if queued.ready():
            self.ready.place(submission_id, queued.rank())
            return
        self.ready.discard(submission_id)
        if queued.waiting:
            self.parked[submission_id] = queued

    def next_job(self) -> entries.QueuedJob | None:
        """Return the least served job that may start a task, if any."""
        while True:
            submission_id = self.ready.least()
            if submission_id is None:
                return None
            queued = self.jobs[submission_id]
            if queued.ready():
                return queued
            self.place(queued)

    def take(self, queued: entries.QueuedJob) -> names.TaskIndex:
        """Take the next task of a job."""
        self.waiting -= 1
        self.running += 1
        queued.running += 1
        queued.started = True
        index = queued.waiting.popleft()
        self.place(queued)
        return index
