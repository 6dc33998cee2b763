"""Decides on one proposal from the answers of the other instances."""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.configuration import messages, timing

_MS: Final = 1000
_EXCLUDED_MS: Final = (timing.LEASE_S + timing.LEASE_MARGIN_S) * _MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Voter:
    """An instance that may be serving.

    Attributes:
        zone: Its zone.
        peer_address: Where it takes messages.
        address: Its client address, for the operator.
    """

    zone: names.AvailabilityZone
    peer_address: names.PeerAddress
    address: names.ClientAddress


class Decision(enum.Enum):
    """What to do with the proposal now."""

    WAIT = 'wait'
    COMMIT = 'commit'
    REFUSE = 'refuse'


class ProposalRound:
    """The votes on one proposal.

    Attributes:
        proposal_id: The proposal.
        started_s: When it was opened, seconds.
        listed_zones: Zones of the platform's list, if it was read since.
    """

    def __init__(self, *, proposal_id: str, started_s: float) -> None:
        self.proposal_id = proposal_id
        self.started_s = started_s
        self.voters: dict[names.PeerAddress, Voter] = {}
        self.votes: dict[names.PeerAddress, messages.Confirmed] = {}
        self.listed_zones: frozenset[names.AvailabilityZone] | None = None

    def set_voters(self, voters: Iterable[Voter]) -> None:
        """Set who may be serving, by the present view and list."""
        self.voters = {voter.peer_address: voter for voter in voters}

    def record_vote(
        self, voter: names.PeerAddress, vote: messages.Confirmed
    ) -> None:
        """Take a confirmation or an objection."""
        if vote.proposal_id == self.proposal_id:
            self.votes[voter] = vote

    def objections(self) -> list[str]:
        """Return why the patch may not be committed."""
        return [
            vote.objection for vote in self.votes.values() if vote.objection
        ]

    def missing_voters(self) -> list[Voter]:
        """Return who may be serving and has not confirmed."""
        return [
            voter
            for address, voter in self.voters.items()
            if address not in self.votes and not self.is_excluded(voter)
        ]

    def is_excluded(self, voter: Voter) -> bool:
        """Return whether a voter can't be admitting work.

        Its zone peers answer and have not heard it for longer than its lease,
        or the platform's list has nobody left in its zone.
        """
        if self.zone_answered(voter.zone):
            return self.silence_ms(voter) >= _EXCLUDED_MS
        listed = self.listed_zones
        return listed is not None and voter.zone not in listed

    def zone_answered(self, zone: names.AvailabilityZone) -> bool:
        """Return whether any instance of a zone has voted."""
        return any(vote.zone == zone for vote in self.votes.values())

    def silence_ms(self, voter: Voter) -> int:
        """Return the shortest silence that its zone peers tell of."""
        return min(
            vote.since_heartbeat_ms.get(
                voter.peer_address, vote.observation_time_ms
            )
            for vote in self.votes.values()
            if vote.zone == voter.zone
        )

    def decide(self, now_s: float) -> Decision:
        """Return what to do now."""
        if self.objections():
            return Decision.REFUSE
        missing = self.missing_voters()
        if not missing:
            return Decision.COMMIT
        passed_s = now_s - self.started_s
        if passed_s > timing.CONFIRM_S:
            return Decision.REFUSE
        hopeless = not any(self.zone_answered(one.zone) for one in missing)
        if hopeless and passed_s > timing.ZONE_SILENT_S:
            return Decision.REFUSE
        return Decision.WAIT

    def relay_targets(self) -> dict[names.PeerAddress, list[names.PeerAddress]]:
        """Return which voters should ask which missing zone peers."""
        found: dict[names.PeerAddress, list[names.PeerAddress]] = {}
        for voter in self.missing_voters():
            for address, vote in self.votes.items():
                if vote.zone == voter.zone:
                    found.setdefault(address, []).append(voter.peer_address)
        return found

    def refusal_reason(self) -> str:
        """Return why the proposal is refused, for the operator."""
        objections = self.objections()
        if objections:
            return '; '.join(objections)
        missing = ', '.join(
            f'{one.address} in {one.zone}' for one in self.missing_voters()
        )
        return f'no confirmation from {missing}'
