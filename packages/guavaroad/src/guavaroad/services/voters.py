"""Which instances may be serving: the view and the platform's list."""

from twisted.internet import defer

from guavaroad.domain import names
from guavaroad.domain.configuration import proposal_round
from guavaroad.domain.membership import member_state, view
from guavaroad.ports import platform, timers


class Electorate:
    """Everybody who must confirm a proposal, this instance left out."""

    def __init__(
        self,
        *,
        known: view.View,
        directory: platform.DirectoryPort,
        timer_service: timers.TimerService,
    ) -> None:
        self.view = known
        self.directory = directory
        self.timers = timer_service
        self.listed = platform.InstanceList(entries=(), upstreams=())
        self.listed_s: float | None = None

    def refresh(self) -> 'defer.Deferred[None]':
        """Read the platform's list now."""
        return defer.ensureDeferred(self.read(self.timers.now()))

    async def read(self, asked_s: float) -> None:
        """Read the list; it counts from when it was asked for."""
        listed = await self.directory.list_instances()
        match listed:
            case platform.InstanceList():
                self.listed = listed
                self.listed_s = asked_s

    def listed_zones(
        self, since_s: float
    ) -> frozenset[names.AvailabilityZone] | None:
        """Return the zones of the list, if it was read since a time."""
        if self.listed_s is None or self.listed_s < since_s:
            return None
        return frozenset(
            entry.availability_zone for entry in self.listed.entries
        )

    def voters(self) -> list[proposal_round.Voter]:
        """Return who may be serving."""
        found = {
            entry.peer_address: proposal_round.Voter(
                zone=entry.availability_zone,
                peer_address=entry.peer_address,
                address=entry.address,
            )
            for entry in self.listed.entries
        }
        members = self.view.members(self.timers.now()).values()
        for member in members:
            found[member.peer_address] = proposal_round.Voter(
                zone=member.incarnation.availability_zone,
                peer_address=member.peer_address,
                address=member.incarnation.address,
            )
        for gone in members:
            # It admits no new work once it has said so.
            if gone.state is member_state.MemberState.LEAVING:
                found.pop(gone.peer_address, None)
        found.pop(self.view.own.peer_address, None)
        return list(found.values())
