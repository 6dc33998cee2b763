"""Vote of the instances on one configuration proposal."""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.configuration import messages, timing

_MS_PER_S: Final = 1000
_EXCLUSION_AGE_MS: Final = (timing.LEASE_S + timing.LEASE_MARGIN_S) * _MS_PER_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Voter:
    """Instance that may be admitting work, so that its vote is required.

    Attributes:
        zone: Zone of the instance.
        peer_address: Address that receives peer messages.
        address: Client address, for messages to the operator.
    """

    zone: names.AvailabilityZone
    peer_address: names.PeerAddress
    address: names.ClientAddress


class Decision(enum.Enum):
    """Next step for the proposal."""

    WAIT = 'wait'
    COMMIT = 'commit'
    REFUSE = 'refuse'


class ProposalRound:
    """Collects the votes on one proposal and decides on it.

    Attributes:
        proposal_id: Id of the proposal.
        started_s: Monotonic time at which it was opened, in seconds.
        listed_zones: Zones in the platform's instance list; None if the list
            has not been read since the proposal was opened.
    """

    def __init__(self, *, proposal_id: str, started_s: float) -> None:
        self.proposal_id = proposal_id
        self.started_s = started_s
        self.voters: dict[names.PeerAddress, Voter] = {}
        self.votes: dict[names.PeerAddress, messages.Confirmed] = {}
        self.listed_zones: frozenset[names.AvailabilityZone] | None = None

    def set_voters(self, voters: Iterable[Voter]) -> None:
        """Set the instances whose votes are required."""
        self.voters = {voter.peer_address: voter for voter in voters}

    def record_vote(
        self, voter: names.PeerAddress, vote: messages.Confirmed
    ) -> None:
        """Record a confirmation or an objection."""
        if vote.proposal_id == self.proposal_id:
            self.votes[voter] = vote

    def objections(self) -> list[str]:
        """Return the reasons against committing the patch."""
        return [
            vote.objection for vote in self.votes.values() if vote.objection
        ]

    def missing_voters(self) -> list[Voter]:
        """Return the voters that are required but have not voted."""
        return [
            voter
            for address, voter in self.voters.items()
            if address not in self.votes and not self.is_excluded(voter)
        ]

    def is_excluded(self, voter: Voter) -> bool:
        """Return whether a voter is known not to admit work.

        This holds if its zone peers have voted and received no heartbeat from
        it for longer than its lease.  If no zone peer has voted, it holds if
        the platform lists no instance of its zone.
        """
        if self.has_zone_voted(voter.zone):
            return self.heartbeat_age_ms(voter) >= _EXCLUSION_AGE_MS
        listed = self.listed_zones
        return listed is not None and voter.zone not in listed

    def has_zone_voted(self, zone: names.AvailabilityZone) -> bool:
        """Return whether any instance of a zone has voted."""
        return any(vote.zone == zone for vote in self.votes.values())

    def heartbeat_age_ms(self, voter: Voter) -> int:
        """Return the lowest heartbeat age reported by the zone peers.

        A zone peer that never received a heartbeat from the voter reports for
        how long it has been observing the zone.
        """
        return min(
            vote.since_heartbeat_ms.get(
                voter.peer_address, vote.observation_time_ms
            )
            for vote in self.votes.values()
            if vote.zone == voter.zone
        )

    def decide(self, now_s: float) -> Decision:
        """Return the next step at the given time."""
        if self.objections():
            return Decision.REFUSE
        missing = self.missing_voters()
        if not missing:
            return Decision.COMMIT
        elapsed_s = now_s - self.started_s
        if elapsed_s > timing.CONFIRM_TIMEOUT_S:
            return Decision.REFUSE
        no_zone_voted = not any(
            self.has_zone_voted(voter.zone) for voter in missing
        )
        if no_zone_voted and elapsed_s > timing.ZONE_TIMEOUT_S:
            return Decision.REFUSE
        return Decision.WAIT

    def relay_targets(self) -> dict[names.PeerAddress, list[names.PeerAddress]]:
        """Return, per voter, the missing zone peers that it should ask."""
        targets: dict[names.PeerAddress, list[names.PeerAddress]] = {}
        for voter in self.missing_voters():
            for address, vote in self.votes.items():
                if vote.zone == voter.zone:
                    targets.setdefault(address, []).append(voter.peer_address)
        return targets

    def refusal_reason(self) -> str:
        """Return the reason for a refusal, for the operator."""
        objections = self.objections()
        if objections:
            return '; '.join(objections)
        missing = ', '.join(
            f'{voter.address} in {voter.zone}'
            for voter in self.missing_voters()
        )
        return f'no confirmation from {missing}'
