"""Equal division of the slots of all upstreams among the instances."""

from collections.abc import Iterable

from guavaroad.domain import names
from guavaroad.domain.slots import upstream


def equal_shares(
    listed: Iterable[upstream.Upstream], index: int, count: int
) -> dict[names.UpstreamName, int]:
    """Return the equal share of one instance in each upstream.

    Slots are assigned to the instances in round-robin order over all
    upstreams, so that the shares add up to exactly the slots there are.

    Args:
        listed: Upstreams on the platform's list.
        index: Index of the instance among all, from 0.
        count: Number of instances.

    Returns:
        Slots by upstream; 0 for an upstream without a slot for the instance.
    """
    shares: dict[names.UpstreamName, int] = {}
    total = 0
    for source in sorted(listed, key=lambda entry: entry.name):
        before = total
        total += source.slots
        taken = assigned(index, count, total) - assigned(index, count, before)
        shares[source.name] = taken
    return shares


def assigned(index: int, count: int, total: int) -> int:
    """Return how many of the first slots one instance gets.

    Args:
        index: Index of the instance, from 0.
        count: Number of instances.
        total: Slots that were assigned in round-robin order.

    Returns:
        Slots of the instance.
    """
    return (total + count - 1 - index) // count
