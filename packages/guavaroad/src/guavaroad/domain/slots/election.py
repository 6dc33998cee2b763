"""Which live instance allocates the slots of an availability zone."""

from collections.abc import Iterable

import xxhash

from guavaroad.domain import names


def allocator_of(
    zone: names.AvailabilityZone, live: Iterable[names.PeerAddress]
) -> names.PeerAddress | None:
    """Return the allocator of a zone by rendezvous hashing.

    Instances with the same view choose the same one, and a change of the
    view moves a zone only if its allocator came or went.

    Args:
        zone: The availability zone.
        live: Peer addresses of the zone's live instances.

    Returns:
        Peer address of the allocator; none without a live instance.
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
    """Return a number that orders the zones without a stated distance.

    Each zone has an order of its own, so that none is everyone's second.
    """
    return xxhash.xxh3_64_intdigest(f'{here} {there}'.encode())
