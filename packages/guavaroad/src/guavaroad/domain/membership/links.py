"""Choice of the instances that exchange reports between zones.

The choice uses rendezvous hashing, so every instance computes the same one.
"""

from collections.abc import Iterable
from typing import Final, TypeVar

import msgspec
import xxhash

from guavaroad.domain import names
from guavaroad.domain.membership import messages

LINKS_PER_ZONE_PAIR: Final = 2
Candidate = TypeVar('Candidate', bound=str)


def rank_candidates(
    key: str, candidates: Iterable[Candidate]
) -> list[Candidate]:
    """Return the candidates ordered by their rendezvous hash for a key.

    Args:
        key: Key that is mapped to the candidates.
        candidates: Names of the candidates.

    Returns:
        The candidates, in the same order on every instance.  Removing a
        candidate does not change the order of the others.
    """
    weights = {
        name: xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
        for name in candidates
    }
    return sorted(weights, key=lambda name: (weights[name], name))


def link_target(
    own: names.Epoch,
    zone_pair: tuple[names.AvailabilityZone, names.AvailabilityZone],
    own_records: tuple[messages.MemberRecord, ...],
    other_records: tuple[messages.MemberRecord, ...],
) -> messages.MemberRecord | None:
    """Return the instance of another zone that receives the zone report.

    Args:
        own: Epoch of this instance.
        zone_pair: Zone of this instance and the other zone.
        own_records: Live instances of this zone, including this one.
        other_records: Live instances of the other zone.

    Returns:
        The target in the other zone, or None if other instances of this zone
        keep the links to it.
    """
    key = f'{zone_pair[0]}>{zone_pair[1]}'
    reporters = rank_candidates(key, (record.epoch for record in own_records))
    if own not in reporters[:LINKS_PER_ZONE_PAIR] or not other_records:
        return None
    by_epoch = {record.epoch: record for record in other_records}
    targets = rank_candidates(key, by_epoch)
    return by_epoch[targets[reporters.index(own) % len(targets)]]


def revision_of(records: tuple[messages.MemberRecord, ...]) -> int:
    """Return the hash of a sorted tuple of records."""
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(records)) >> 1
