"""The instances that must confirm a proposal."""

from twisted.internet import defer

from guavaroad.domain import names
from guavaroad.domain.configuration import proposal_round
from guavaroad.domain.membership import member_state, view
from guavaroad.ports import platform, timers


class VoterDirectory:
    """Finds voters in the membership view and the platform's list."""

    def __init__(
        self,
        *,
        membership_view: view.View,
        directory: platform.DirectoryPort,
        timer_service: timers.TimerService,
    ) -> None:
        self.membership_view = membership_view
        self.directory = directory
        self.timers = timer_service
        self.listed = platform.InstanceList(entries=(), upstreams=())
        self.listed_s: float | None = None

    def refresh(self) -> 'defer.Deferred[None]':
        """Read the platform's list now."""
        return defer.ensureDeferred(self.read(self.timers.now()))

    async def read(self, requested_s: float) -> None:
        """Read the list; its time is that of the request."""
        listed = await self.directory.list_instances()
        match listed:
            case platform.InstanceList():
                self.listed = listed
                self.listed_s = requested_s

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
        """Return the instances that may be serving, except this one."""
        voters_by_address = {
            entry.peer_address: proposal_round.Voter(
                zone=entry.availability_zone,
                peer_address=entry.peer_address,
                address=entry.address,
            )
            for entry in self.listed.entries
        }
        members = self.membership_view.members(self.timers.now()).values()
        for member in members:
            voters_by_address[member.peer_address] = proposal_round.Voter(
                zone=member.incarnation.availability_zone,
                peer_address=member.peer_address,
                address=member.incarnation.address,
            )
        for leaving_member in members:
            # A leaving instance admits no new work, so its vote is not needed.
            if leaving_member.state is member_state.MemberState.LEAVING:
                voters_by_address.pop(leaving_member.peer_address, None)
        voters_by_address.pop(self.membership_view.own.peer_address, None)
        return list(voters_by_address.values())
