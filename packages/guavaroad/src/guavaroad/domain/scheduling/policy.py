"""What the configuration says of classes and teams."""

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
        """Return the part of the slots that a class may always claim."""
        known = self.config.classes.get(urgency)
        return known.share if known else 0

    def team(self, name: names.TeamName) -> document.Team:
        """Return the team's settings, the defaults for an unknown team."""
        return self.config.teams.get(name) or document.Team()

    def reserved(self, capacity: int) -> int:
        """Return the slots kept free of classes above their share."""
        return int(self.config.reserve * capacity)
