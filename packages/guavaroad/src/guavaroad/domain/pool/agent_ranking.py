"""Choice of the agent that makes the calls to a worker.

Spreads the calls by weighted rendezvous hashing: each instance gets workers in
proportion to its cores, and the loss of one instance moves only its workers.
"""

import hashlib
import itertools
import math
from collections.abc import Iterable, Iterator
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.pool import peer_messages, values

_DIGEST_BYTES: Final = 8
_HASH_RANGE: Final = float(1 << 8 * _DIGEST_BYTES)


def choose_agent(
    *,
    worker_id: values.WorkerId,
    zone: names.AvailabilityZone,
    instances: Iterable[peer_messages.Instance],
    allocator: values.InstanceName,
    failures: int = 0,
    is_direct: bool = False,
) -> values.InstanceName:
    """Return the agent of a worker.

    Instances in the worker's availability zone are preferred, as calls to other
    zones take longer and are billed.  The allocator comes last, since its link
    carries the decisions of the whole pool.

    Args:
        worker_id: Id of the worker.
        zone: Availability zone of the worker.
        instances: Available instances, among them the allocator.
        allocator: Name of the allocator.
        failures: Number of agents, in their order, that could not reach the
            worker.
        is_direct: Whether the allocator calls the workers itself; other agents
            are then used only where it can't reach a worker.
    """
    available = tuple(instances)
    others = rank_others(worker_id, zone, available, allocator)
    ranked = (
        itertools.chain((allocator,), others)
        if is_direct
        else itertools.chain(others, (allocator,))
    )
    skipped = failures % len(available)
    return next(itertools.islice(ranked, skipped, None))


def rank_others(
    worker_id: values.WorkerId,
    zone: names.AvailabilityZone,
    instances: tuple[peer_messages.Instance, ...],
    allocator: values.InstanceName,
) -> Iterator[values.InstanceName]:
    """Yield the agents but the allocator, the preferred one first."""
    others = [instance for instance in instances if instance.name != allocator]
    near = [instance for instance in others if instance.zone == zone]
    yield from _by_weight(worker_id, near)
    yield from _by_weight(
        worker_id, [instance for instance in others if instance.zone != zone]
    )


def _by_weight(
    worker_id: values.WorkerId, instances: list[peer_messages.Instance]
) -> list[values.InstanceName]:
    weighed = sorted(
        (_weight(worker_id, instance), instance.name) for instance in instances
    )
    return [name for _, name in reversed(weighed)]


def _weight(
    worker_id: values.WorkerId, instance: peer_messages.Instance
) -> float:
    digest = hashlib.blake2b(
        f'{worker_id}/{instance.name}'.encode(), digest_size=_DIGEST_BYTES
    ).digest()
    # Strictly between 0 and 1, so that the logarithm is negative.
    share = (int.from_bytes(digest) + 0.5) / (_HASH_RANGE + 1)
    return -instance.cores / math.log(share)
