"""Queued jobs of one urgency class in one pool, fair between teams."""

from typing import Any

from guavaroad.domain import jobs, names
from guavaroad.domain.scheduling import entries, ranking, team_queue


class ClassQueue:
    """Teams of a class; the one that used the fewest slot-seconds goes next.

    Attributes:
        urgency: The class.
        teams: Queues by team, kept when they run empty.
        waiting: Tasks that wait.
        running: Tasks that run.
    """

    def __init__(
        self, *, urgency: jobs.Urgency, parked: entries.Parked
    ) -> None:
        self.parked = parked
        self.urgency = urgency
        self.teams: dict[names.TeamName, team_queue.TeamQueue] = {}
        self.ready: ranking.Ranking[names.TeamName] = ranking.Ranking()
        self.waiting = 0
        self.running = 0
        self.level_s: float = 0

    def team(self, name: names.TeamName) -> team_queue.TeamQueue:
        """Return the queue of a team."""
        known = self.teams.get(name)
        if known is None:
            known = team_queue.TeamQueue(team=name, parked=self.parked)
            self.teams[name] = known
        return known

    def add(self, queued: entries.QueuedJob) -> None:
        """Queue a job; a team that was idle saves up no service."""
        team = self.team(queued.job.request.team)
        if not team.waiting and not team.running:
            team.used_s = max(team.used_s, self.level_s)
        team.add(queued)
        self.waiting += len(queued.waiting)
        self.place(team)

    def remove(self, queued: entries.QueuedJob) -> None:
        """Forget the waiting tasks of a job."""
        team = self.team(queued.job.request.team)
        team.remove(queued.job.request.submission_id)
        self.waiting -= len(queued.waiting)
        self.place(team)

    def place(self, team: team_queue.TeamQueue) -> None:
        """Rank a team again after a change."""
        if team.next_job() is None:
            self.ready.discard(team.team)
        else:
            self.ready.place(team.team, (team.used_s,))

    def next_team(self) -> team_queue.TeamQueue | None:
        """Return the least served team with a task to start, if any."""
        while True:
            name = self.ready.least()
            if name is None:
                return None
            team = self.teams[name]
            if team.next_job() is not None:
                return team
            self.ready.discard(name)

    def busy_teams(self) -> set[names.TeamName]:
        """Return the teams with waiting or running tasks."""
        return {
            name
            for name, team in self.teams.items()
            if team.waiting or team.running
        }

    def charge(self, team: team_queue.TeamQueue, weighted_s: float) -> None:
        """Add used slot-seconds, already divided by the weight."""
        team.used_s += weighted_s
        self.place(team)

    def changed(self, queued: entries.QueuedJob) -> None:
        """Rank a job again whose `held` or running tasks changed."""
        team = self.team(queued.job.request.team)
        team.place(queued)
        self.place(team)

    def take(
        self, team: team_queue.TeamQueue, queued: entries.QueuedJob
    ) -> names.TaskIndex:
        """Take the next task of a team's least served job."""
        self.level_s = max(self.level_s, team.used_s)
        self.waiting -= 1
        self.running += 1
        return team.take(queued)

    def ended(self, name: names.TeamName) -> None:
        """Count down the running tasks of a team."""
        self.running -= 1
        self.team(name).running -= 1

    def put_back(
        self, queued: entries.QueuedJob, index: names.TaskIndex
    ) -> None:
        """Queue a task again that provably did not start."""
        queued.waiting.appendleft(index)
        self.waiting += 1
        self.team(queued.job.request.team).waiting += 1
        self.changed(queued)

    def describe(self) -> list[dict[str, Any]]:
        """Return every team's queue for the state dump."""
        return [
            {
                'team': team.team,
                'waiting': team.waiting,
                'running': team.running,
                'used_s': round(team.used_s, 3),
            }
            for team in self.teams.values()
        ]
