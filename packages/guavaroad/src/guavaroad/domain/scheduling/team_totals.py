"""Waiting work of each team over all pools and classes."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.scheduling import entries


@dataclasses.dataclass(slots=True, kw_only=True)
class TeamTotal:
    """Waiting work of one team.

    Attributes:
        tasks: Number of waiting tasks.
        arrived: Jobs in order of arrival; may include ended ones.
    """

    tasks: int = 0
    arrived: list[entries.QueuedJob] = dataclasses.field(default_factory=list)

    def newest_unstarted(
        self, queued: dict[names.SubmissionId, entries.QueuedJob]
    ) -> entries.QueuedJob | None:
        """Return the newest queued job of which no task has started.

        Newer jobs that have started or ended are dropped from `arrived`.

        Args:
            queued: Queued jobs of the instance.

        Returns:
            The job, or None if there is none.
        """
        while self.arrived:
            last = self.arrived[-1]
            present = queued.get(last.job.request.submission_id)
            if present is last and not last.started:
                return last
            self.arrived.pop()
        return None


class TeamTotals:
    """Totals by team; a team without waiting tasks is removed.

    Attributes:
        by_team: Totals of the teams with waiting tasks.
    """

    def __init__(self) -> None:
        self.by_team: dict[names.TeamName, TeamTotal] = {}

    def total(self, team: names.TeamName) -> TeamTotal:
        """Return the total of a team, an empty one if it has none."""
        return self.by_team.get(team) or TeamTotal()

    def add(self, queued: entries.QueuedJob) -> None:
        """Count the waiting tasks of a newly queued job."""
        team = queued.job.request.team
        total = self.by_team.setdefault(team, TeamTotal())
        total.tasks += len(queued.waiting)
        total.arrived.append(queued)

    def count(self, team: names.TeamName, change: int) -> None:
        """Add a change to the number of waiting tasks of a team."""
        total = self.by_team.setdefault(team, TeamTotal())
        total.tasks += change
        if not total.tasks:
            self.by_team.pop(team)
