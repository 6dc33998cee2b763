"""When each owner of jobs certainly still followed this allocator.

Answers an owner that is cut off: it may have declared its jobs to another
allocator, which starts their tasks again when the leases here must have ended.
Messages of the owner may arrive long after that, as through a link that is
full, so what counts is the heartbeat that they answer.
"""

from collections.abc import Iterable
from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import leases, values

# Time after the last contact with an owner from which on no lease that covers a
# run of it is extended, and no task of it is started, in seconds: what is left
# is too short for a poll that waits half a lease.
MAX_SILENCE_S: Final = leases.INHERITED_LEASE_S - leases.MIN_EXTENSION_S
# Time after its last contact with an allocator at which every run that this
# allocator may have started without its knowledge is over, in seconds. The
# lease of the worker may have been extended just before that start.
HIDDEN_RUN_S: Final = MAX_SILENCE_S + leases.LONGEST_S
# Time after which an owner is forgotten, in seconds. Its runs have lapsed long
# before.
FORGET_S: Final = 10


class OwnerContacts:
    """Limits leases by the last contacts with the owners of runs.

    The time of a contact is that of the request to follow or of the heartbeat
    that the owner has answered. Owners of older builds don't say which
    heartbeat they answer. Their messages count as received at the last tick but
    one before they were read, as they may have waited in a pause of this
    process.

    Attributes:
        contact_s: Last contact with each owner, in seconds.
        asked_s: When each owner was asked to follow, until it has answered the
            first heartbeat on that link, in seconds.
        answering: Owners that say which heartbeat they answer.
        lost: Owners whose link is lost, until they answer on another one. None
            of their tasks is placed, since another allocator may have their
            jobs by now.
        silent: Owners without a contact for `MAX_SILENCE_S`.
        ticked_s: Time of the last tick, in seconds.
        received_after_s: Time of the tick before, in seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self.contact_s: dict[values.InstanceName, float] = {}
        self.asked_s: dict[values.InstanceName, float] = {}
        self.answering: set[values.InstanceName] = set()
        self.lost: set[values.InstanceName] = set()
        self.silent: frozenset[values.InstanceName] = frozenset()
        self.ticked_s = now_s
        self.received_after_s = now_s

    def on_linked(self, owner: values.InstanceName, now_s: float) -> None:
        """Record that an owner is asked to follow on a new link."""
        self.asked_s[owner] = now_s

    def on_heard(self, owner: values.InstanceName) -> None:
        """Record a message of an owner."""
        asked_s = self.asked_s.get(owner)
        if asked_s is not None:
            self.record(owner, asked_s)
        elif owner not in self.answering:
            self.record(owner, self.received_after_s)

    def on_beat(self, owner: values.InstanceName, sent_ms: int) -> None:
        """Record the answer of an owner to a heartbeat.

        Args:
            owner: The owner.
            sent_ms: When the heartbeat was sent, in milliseconds; negative if
                the owner does not say.
        """
        self.asked_s.pop(owner, None)
        if sent_ms < 0:
            self.answering.discard(owner)
            self.on_heard(owner)
        else:
            self.answering.add(owner)
            self.record(owner, sent_ms / units.MS_PER_S)

    def record(self, owner: values.InstanceName, contact_s: float) -> None:
        """Record a contact, unless a later one is known."""
        known_s = self.contact_s.get(owner, contact_s)
        self.contact_s[owner] = max(known_s, contact_s)
        if owner in self.silent:
            self.find_silent(self.ticked_s)

    def is_away(self, owner: values.InstanceName, now_s: float) -> bool:
        """Return whether no task of an owner may be placed now."""
        contact_s = self.contact_s.get(owner, now_s)
        return owner in self.lost or contact_s < now_s - MAX_SILENCE_S

    def tick(self, now_s: float) -> frozenset[values.InstanceName]:
        """Update which owners are silent; return those that have become so."""
        before = self.silent
        self.received_after_s = self.ticked_s
        self.ticked_s = now_s
        self.find_silent(now_s)
        return self.silent - before

    def find_silent(self, now_s: float) -> None:
        """Find the silent owners, and forget those that have left."""
        before_s = now_s - MAX_SILENCE_S
        silent = [
            owner
            for owner, contact_s in self.contact_s.items()
            if contact_s < before_s
        ]
        for owner in silent:
            if self.contact_s[owner] < now_s - FORGET_S:
                self.contact_s.pop(owner)
                self.answering.discard(owner)
        self.silent = frozenset(silent).intersection(self.contact_s)

    def lease_limit_s(self, owners: Iterable[values.InstanceName]) -> float:
        """Return when a lease that covers runs of some owners has to end.

        Args:
            owners: The owners. One without any contact sets no limit: it has
                declared no job.

        Returns:
            Local time, in seconds; infinity if there is no limit.
        """
        oldest_s = min(
            (self.contact_s.get(owner, leases.UNLIMITED_S) for owner in owners),
            default=leases.UNLIMITED_S,
        )
        return oldest_s + leases.INHERITED_LEASE_S


def hidden_until_s(contact_age_ms: int, now_s: float) -> float:
    """Return when runs that an owner does not know of are over.

    The previous allocator of the owner counts from a contact that is not later
    than the last one that the owner knows of.

    Args:
        contact_age_ms: Time since the last contact of the owner with an
            allocator when it declared its job, in milliseconds; 0 if unknown.
        now_s: Time of the declaration, in seconds.
    """
    left_s = HIDDEN_RUN_S - contact_age_ms / units.MS_PER_S
    return now_s + max(left_s, leases.INHERITED_LEASE_S)
