"""Equal division of the slots of all upstreams among the instances."""

from collections.abc import Iterable

from guavaroad.domain import names
from guavaroad.domain.slots import upstream


def equal_shares(
    listed: Iterable[upstream.Upstream], index: int, count: int
) -> dict[names.UpstreamName, int]:
    """Return one instance's slots of each upstream.

    The slots are dealt out in turn, so that the shares of all instances add
    up to what the upstreams have.

    Args:
        listed: Upstreams of the platform's list.
        index: Place of the instance among all, from 0.
        count: Instances.

    Returns:
        Slots by upstream, 0 where none falls to the instance.
    """
    shares: dict[names.UpstreamName, int] = {}
    dealt = 0
    for known in sorted(listed, key=lambda one: one.name):
        before = dealt
        dealt += known.slots
        taken = dealt_to(index, count, dealt) - dealt_to(index, count, before)
        shares[known.name] = taken
    return shares


def dealt_to(index: int, count: int, dealt: int) -> int:
    """Return how many of the first slots fell to one of many in turn."""
    return (dealt + count - 1 - index) // count
