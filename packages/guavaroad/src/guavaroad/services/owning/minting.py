"""Mints and checks the submission ids of one incarnation."""

from guavaroad.domain import codes, identity, names
from guavaroad.ports import timers


class Minter:
    """Mints the submission ids of one incarnation."""

    def __init__(
        self,
        *,
        incarnation: identity.Incarnation,
        timer_service: timers.TimerService,
        id_lifetime_s: float,
    ) -> None:
        self.incarnation = incarnation
        self.timers = timer_service
        self.id_lifetime_s = id_lifetime_s
        self.last_sequence = 0

    def mint(self, team: names.TeamName) -> names.SubmissionId:
        """Return a fresh id for a team."""
        return identity.format_id(self.mint_parsed(team))

    def mint_parsed(self, team: names.TeamName) -> identity.ParsedId:
        """Return the fields of a fresh id for a team."""
        self.last_sequence += 1
        return identity.ParsedId(
            owner=self.incarnation,
            sequence=self.last_sequence,
            minted_s=int(self.timers.wall()),
            team=team,
        )

    def refusal(
        self, parsed: identity.ParsedId, horizon: int
    ) -> codes.ResultCode | None:
        """Return why an id of this incarnation may not run; none if it may.

        Args:
            parsed: The id, for which no outcome is kept.
            horizon: Greatest sequence whose outcome was evicted.

        Returns:
            The result code of the refusal.
        """
        if not 0 < parsed.sequence <= self.last_sequence:
            return codes.ResultCode.BAD_SUBMISSION_ID
        age_s = self.timers.wall() - parsed.minted_s
        if parsed.sequence <= horizon or age_s > self.id_lifetime_s:
            return codes.ResultCode.ID_EXPIRED
        return None
