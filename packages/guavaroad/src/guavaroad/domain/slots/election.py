"""Choice of the instance that allocates the slots of a zone."""

from collections.abc import Iterable

import xxhash

from guavaroad.domain import names


def allocator_of(
    zone: names.AvailabilityZone, live: Iterable[names.PeerAddress]
) -> names.PeerAddress | None:
    """Return the allocator of a zone by rendezvous hashing.

    Instances with the same membership view choose the same allocator, and a
    change of the view moves a zone only if its allocator joined or left.

    Args:
        zone: The availability zone.
        live: Peer addresses of the zone's live instances.

    Returns:
        Peer address of the allocator, or None without a live instance.
    """
    return max(
        live,
        key=lambda address: xxhash.xxh3_64_intdigest(
            f'{zone} {address}'.encode()
        ),
        default=None,
    )


def distance(
    here: names.AvailabilityZone, there: names.AvailabilityZone
) -> int:
    """Return a sort key for zones without a configured distance.

    Each zone orders the others differently, so that no zone is the second
    choice of all.

    Args:
        here: Zone of the instance.
        there: The other zone.

    Returns:
        A number without a unit.
    """
    return xxhash.xxh3_64_intdigest(f'{here} {there}'.encode())
