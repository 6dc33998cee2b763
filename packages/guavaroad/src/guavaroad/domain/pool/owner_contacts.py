"""When each owner of jobs was last heard from.

Answers an owner that is cut off: it may have declared its jobs to another
allocator, which starts their tasks again when the leases here must have ended.
"""

from collections.abc import Iterable
from typing import Final

from guavaroad.domain.pool import leases, values

# Time after the last message of an owner from which on no lease that covers a
# run of it is extended, in seconds: what is left is too short for a poll that
# waits half a lease.
MAX_SILENCE_S: Final = leases.INHERITED_LEASE_S - leases.MIN_EXTENSION_S
# Time after which an owner is forgotten, in seconds. Its runs have lapsed long
# before.
FORGET_S: Final = 10


class OwnerContacts:
    """Limits leases by the last messages of the owners of runs.

    A message may have waited in a pause of this process, so that it counts as
    received at the last tick but one before it was read.

    Attributes:
        heard_s: When each owner was last heard from, in seconds.
        lost: Owners whose link is lost, until they answer on another one. None
            of their tasks is placed, since another allocator may have their
            jobs by now.
        silent: Owners that were not heard from for `MAX_SILENCE_S`.
        ticked_s: Time of the last tick, in seconds.
        received_after_s: Time of the tick before, in seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self.heard_s: dict[values.InstanceName, float] = {}
        self.lost: set[values.InstanceName] = set()
        self.silent: frozenset[values.InstanceName] = frozenset()
        self.ticked_s = now_s
        self.received_after_s = now_s

    def on_heard(self, owner: values.InstanceName) -> None:
        """Record a message of an owner."""
        self.heard_s[owner] = self.received_after_s
        if owner in self.silent:
            self.find_silent(self.ticked_s)

    def is_away(self, owner: values.InstanceName) -> bool:
        """Return whether no task of an owner may be placed now."""
        return owner in self.lost or owner in self.silent

    def tick(self, now_s: float) -> None:
        """Update which owners are silent."""
        self.received_after_s = self.ticked_s
        self.ticked_s = now_s
        self.find_silent(now_s)

    def find_silent(self, now_s: float) -> None:
        """Find the silent owners, and forget those that have left."""
        before_s = now_s - MAX_SILENCE_S
        silent = [
            owner
            for owner, heard_s in self.heard_s.items()
            if heard_s < before_s
        ]
        for owner in silent:
            if self.heard_s[owner] < now_s - FORGET_S:
                self.heard_s.pop(owner)
        self.silent = frozenset(silent).intersection(self.heard_s)

    def lease_limit_s(self, owners: Iterable[values.InstanceName]) -> float:
        """Return when a lease that covers runs of some owners has to end.

        Args:
            owners: The owners. One that was never heard from sets no limit: it
                has declared no job.

        Returns:
            Local time, in seconds; infinity if there is no limit.
        """
        oldest_s = min(
            (self.heard_s.get(owner, leases.UNLIMITED_S) for owner in owners),
            default=leases.UNLIMITED_S,
        )
        return oldest_s + leases.INHERITED_LEASE_S
