"""Availability zones whose workers must get no tasks, by operator request.

Answers instances that learn of a request at different moments, or not at all
while they lack the store: each keeps the zones together with the version of the
store as of which they are known, and the later version wins.
"""

import dataclasses
from collections.abc import Iterable

import msgspec

from guavaroad.domain import names


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated availability zones.

    Attributes:
        version: Version of the store as of which they are known; negative
            before the first read.
        zones: The zones, sorted.
    """

    version: int = -1
    zones: tuple[names.AvailabilityZone, ...] = ()


NO_EVACUATIONS = Evacuations()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneChanges:
    """What a read of the store shows of evacuated zones.

    Attributes:
        evacuated: Zones that are evacuated.
        returned: Zones that are no longer evacuated.
        is_complete: Whether all zones that it does not name are in service.
    """

    evacuated: frozenset[names.AvailabilityZone] = frozenset()
    returned: frozenset[names.AvailabilityZone] = frozenset()
    is_complete: bool = False


NO_CHANGES = ZoneChanges()


def changes_of(
    rows: Iterable[tuple[str, bool]], *, is_complete: bool
) -> ZoneChanges:
    """Return what rows of the store show of evacuated zones.

    Args:
        rows: Zone of each row, and whether the row was removed, in the order of
            the changes.
        is_complete: Whether they are all rows.
    """
    is_removed = {names.AvailabilityZone(zone): gone for zone, gone in rows}
    returned = frozenset(zone for zone in is_removed if is_removed[zone])
    return ZoneChanges(
        evacuated=frozenset(is_removed) - returned,
        returned=returned,
        is_complete=is_complete,
    )


def apply_changes(
    known: Evacuations, changes: ZoneChanges, version: int
) -> Evacuations:
    """Return the evacuations after a read of the store.

    Args:
        known: Evacuations as known before.
        changes: What the read shows.
        version: Version of the store that it is as of.
    """
    if version <= known.version:
        return known
    before = frozenset() if changes.is_complete else frozenset(known.zones)
    zones = (before | changes.evacuated) - changes.returned
    return Evacuations(version=version, zones=tuple(sorted(zones)))


def newer_of(known: Evacuations, received: Evacuations) -> Evacuations:
    """Return the evacuations that are known as of the later version."""
    return received if received.version > known.version else known
