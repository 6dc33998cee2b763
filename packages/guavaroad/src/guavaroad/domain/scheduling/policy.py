"""Configured shares of classes, and weights and quotas of teams."""

import dataclasses

from guavaroad.domain import jobs, names
from guavaroad.domain.configuration import document

CLASS_ORDER = (jobs.Urgency.URGENT, jobs.Urgency.NORMAL, jobs.Urgency.LOW)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Shares, weights and quotas in force.

    Attributes:
        config: The configuration document.
    """

    config: document.Document = dataclasses.field(
        default_factory=document.Document
    )

    def share(self, urgency: jobs.Urgency) -> float:
        """Return the fraction of the slots that is guaranteed to a class."""
        settings = self.config.classes.get(urgency)
        return settings.share if settings else 0

    def team(self, name: names.TeamName) -> document.Team:
        """Return the settings of a team, or defaults if it has none."""
        return self.config.teams.get(name) or document.Team()

    def reserved(self, capacity: int) -> int:
        """Return the slots that only classes below their share may use."""
        return int(self.config.reserve * capacity)
