"""Which instances keep the links between zones: rendezvous hashing."""

from collections.abc import Iterable
from typing import Final, TypeVar

import msgspec
import xxhash

from guavaroad.domain import names
from guavaroad.domain.membership import messages

LINKS_PER_ZONE_PAIR: Final = 2
Candidate = TypeVar('Candidate', bound=str)


def ranked(key: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates by falling weight for a key.

    Args:
        key: What is to be placed.
        candidates: Names of the places.

    Returns:
        The same order on every instance; one lost candidate moves no other.
    """
    weights = {
        name: xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
        for name in candidates
    }
    return sorted(weights, key=lambda name: (weights[name], name))


def link_target(
    own: names.Epoch,
    pair: tuple[names.AvailabilityZone, names.AvailabilityZone],
    own_records: tuple[messages.MemberRecord, ...],
    other_records: tuple[messages.MemberRecord, ...],
) -> messages.MemberRecord | None:
    """Return whom this instance reports its zone to.

    Args:
        own: This instance.
        pair: Its zone and the other zone.
        own_records: Live instances of its zone, this one too.
        other_records: Live instances of the other zone.

    Returns:
        Its target in the other zone; none if it keeps no link there.
    """
    key = f'{pair[0]}>{pair[1]}'
    keepers = ranked(key, (record.epoch for record in own_records))
    if own not in keepers[:LINKS_PER_ZONE_PAIR] or not other_records:
        return None
    by_epoch = {record.epoch: record for record in other_records}
    targets = ranked(key, by_epoch)
    return by_epoch[targets[keepers.index(own) % len(targets)]]


def revision_of(records: tuple[messages.MemberRecord, ...]) -> int:
    """Return the hash of sorted records."""
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(records)) >> 1
