"""What each team has waiting in all pools and classes."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.scheduling import entries


@dataclasses.dataclass(slots=True, kw_only=True)
class TeamTotal:
    """Waiting work of one team.

    Attributes:
        tasks: Tasks that wait.
        arrived: Jobs in order of arrival, ended ones among them.
    """

    tasks: int = 0
    arrived: list[entries.QueuedJob] = dataclasses.field(default_factory=list)

    def newest_unstarted(
        self, queued: dict[names.SubmissionId, entries.QueuedJob]
    ) -> entries.QueuedJob | None:
        """Return the newest queued job of which nothing started."""
        while self.arrived:
            last = self.arrived[-1]
            known = queued.get(last.job.request.submission_id)
            if known is last and not last.started:
                return last
            self.arrived.pop()
        return None


class TeamTotals:
    """Totals by team; a team with nothing queued is forgotten."""

    def __init__(self) -> None:
        self.by_team: dict[names.TeamName, TeamTotal] = {}

    def total(self, team: names.TeamName) -> TeamTotal:
        """Return the total of a team, an empty one if it has none."""
        return self.by_team.get(team) or TeamTotal()

    def add(self, queued: entries.QueuedJob) -> None:
        """Count a job that was queued."""
        team = queued.job.request.team
        total = self.by_team.setdefault(team, TeamTotal())
        total.tasks += len(queued.waiting)
        total.arrived.append(queued)

    def count(self, team: names.TeamName, change: int) -> None:
        """Change the waiting tasks of a team."""
        total = self.by_team.setdefault(team, TeamTotal())
        total.tasks += change
        if not total.tasks:
            self.by_team.pop(team)
