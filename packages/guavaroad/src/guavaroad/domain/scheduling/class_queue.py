"""Queued jobs of one urgency class in one pool, fair between teams."""

from typing import Any

from guavaroad.domain import jobs, names
from guavaroad.domain.scheduling import entries, ranking, team_queue


class ClassQueue:
    """Schedules the teams of a class by weighted fair queueing.

    The team with the fewest charged slot-seconds for its weight goes next.

    Attributes:
        held_jobs: Held jobs of all pools and classes.
        urgency: The class.
        teams: Queues by team, retained when empty.
        ready: Teams that may start a task, least served first.
        waiting: Number of waiting tasks.
        running: Number of running tasks.
        virtual_time_s: Highest `used_s` of a team when it was served.
    """

    def __init__(
        self, *, urgency: jobs.Urgency, held_jobs: entries.HeldJobs
    ) -> None:
        self.held_jobs = held_jobs
        self.urgency = urgency
        self.teams: dict[names.TeamName, team_queue.TeamQueue] = {}
        self.ready: ranking.Ranking[names.TeamName] = ranking.Ranking()
        self.waiting = 0
        self.running = 0
        self.virtual_time_s: float = 0

    def team(self, name: names.TeamName) -> team_queue.TeamQueue:
        """Return the queue of a team, created on first use."""
        queue = self.teams.get(name)
        if queue is None:
            queue = team_queue.TeamQueue(team=name, held_jobs=self.held_jobs)
            self.teams[name] = queue
        return queue

    def add(self, queued: entries.QueuedJob) -> None:
        """Queue a job.

        An idle team starts at the virtual time of the class, so that it
        gains no credit for the time without work.
        """
        team = self.team(queued.job.request.team)
        if not team.waiting and not team.running:
            team.used_s = max(team.used_s, self.virtual_time_s)
        team.add(queued)
        self.waiting += len(queued.waiting)
        self.update_rank(team)

    def remove(self, queued: entries.QueuedJob) -> None:
        """Remove a job and its waiting tasks."""
        team = self.team(queued.job.request.team)
        team.remove(queued.job.request.submission_id)
        self.waiting -= len(queued.waiting)
        self.update_rank(team)

    def update_rank(self, team: team_queue.TeamQueue) -> None:
        """Update the rank of a team after a change."""
        if team.next_job() is None:
            self.ready.discard(team.team)
        else:
            self.ready.set_rank(team.team, (team.used_s,))

    def next_team(self) -> team_queue.TeamQueue | None:
        """Return the least served team with a task to start, if any."""
        while True:
            name = self.ready.lowest()
            if name is None:
                return None
            team = self.teams[name]
            if team.next_job() is not None:
                return team
            self.ready.discard(name)

    def active_teams(self) -> set[names.TeamName]:
        """Return the teams with waiting or running tasks."""
        return {
            name
            for name, team in self.teams.items()
            if team.waiting or team.running
        }

    def charge(self, team: team_queue.TeamQueue, weighted_s: float) -> None:
        """Charge slot-seconds to a team.

        Args:
            team: The team.
            weighted_s: Slot-seconds divided by the weight of the team;
                negative to refund an earlier charge.
        """
        team.used_s += weighted_s
        self.update_rank(team)

    def rerank(self, queued: entries.QueuedJob) -> None:
        """Update the rank of a job whose hold or running tasks changed."""
        team = self.team(queued.job.request.team)
        team.update_rank(queued)
        self.update_rank(team)

    def take_task(
        self, team: team_queue.TeamQueue, queued: entries.QueuedJob
    ) -> names.TaskIndex:
        """Take the next task of a job for execution.

        Args:
            team: The team that is served.
            queued: A job of the team with a waiting task.

        Returns:
            Index of the task.
        """
        self.virtual_time_s = max(self.virtual_time_s, team.used_s)
        self.waiting -= 1
        self.running += 1
        return team.take_task(queued)

    def record_end(self, name: names.TeamName) -> None:
        """Decrement the number of running tasks of a team."""
        self.running -= 1
        self.team(name).running -= 1

    def requeue(
        self, queued: entries.QueuedJob, index: names.TaskIndex
    ) -> None:
        """Queue a task again whose attempt is proven not to have started."""
        queued.waiting.appendleft(index)
        self.waiting += 1
        self.team(queued.job.request.team).waiting += 1
        self.rerank(queued)

    def describe(self) -> list[dict[str, Any]]:
        """Return the queue of every team for the state dump."""
        return [
            {
                'team': team.team,
                'waiting': team.waiting,
                'running': team.running,
                'used_s': round(team.used_s, 3),
            }
            for team in self.teams.values()
        ]
