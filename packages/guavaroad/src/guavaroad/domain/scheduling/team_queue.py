"""Queued jobs of one team within one urgency class."""

from guavaroad.domain import names
from guavaroad.domain.scheduling import entries, ranking


class TeamQueue:
    """Jobs of a team; the one with the fewest running tasks goes next.

    Attributes:
        held_jobs: Held jobs of all pools and classes.
        team: The team.
        used_s: Charged slot-seconds, divided by the weight of the team.
        waiting: Number of waiting tasks.
        running: Number of running tasks.
        jobs: Queued jobs by submission id.
        ready: Jobs that may start a task, least served first.
    """

    def __init__(
        self, *, team: names.TeamName, held_jobs: entries.HeldJobs
    ) -> None:
        self.held_jobs = held_jobs
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
        self.update_rank(queued)

    def remove(self, submission_id: names.SubmissionId) -> None:
        """Remove a job and its waiting tasks."""
        queued = self.jobs.pop(submission_id)
        self.waiting -= len(queued.waiting)
        self.ready.discard(submission_id)
        self.held_jobs.pop(submission_id, None)

    def update_rank(self, queued: entries.QueuedJob) -> None:
        """Update the rank of a job after a change."""
        submission_id = queued.job.request.submission_id
        if queued.ready():
            self.ready.set_rank(submission_id, queued.rank())
            return
        self.ready.discard(submission_id)
        if queued.waiting:
            self.held_jobs[submission_id] = queued

    def next_job(self) -> entries.QueuedJob | None:
        """Return the least served job that may start a task, if any."""
        while True:
            submission_id = self.ready.lowest()
            if submission_id is None:
                return None
            queued = self.jobs[submission_id]
            if queued.ready():
                return queued
            self.update_rank(queued)

    def take_task(self, queued: entries.QueuedJob) -> names.TaskIndex:
        """Take the next task of a job for execution."""
        self.waiting -= 1
        self.running += 1
        queued.running += 1
        queued.started = True
        index = queued.waiting.popleft()
        self.update_rank(queued)
        return index
