"""What the parts of a pool instance share."""

import dataclasses
from collections.abc import Callable

from guavaroad.ports import pool, timers
from guavaroad.services.pool import decision_log, instance_links


def _ignore() -> None:
    """Leave the objects to the collector."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """External dependencies of a pool instance.

    Attributes:
        workers: Calls to workers.
        cluster: The pool's rows in the platform's store.
        codec: Decodes the values of those rows.
        dialler: Opens links to other instances.
        timers: Clock and delayed calls.
        decision_log: Structured log of decisions.
        link_bytes_per_s: Capacity of this machine's link, in bytes a second.
        worker_list_period_s: Period in which the allocator reads the worker
            list, in seconds.
        collect_garbage: Frees objects in reference cycles, such as the
            allocator of a term that has ended.
    """

    workers: pool.WorkersPort
    cluster: pool.ClusterPort
    codec: pool.CodecPort
    dialler: instance_links.DiallerPort
    timers: timers.TimerService
    decision_log: decision_log.DecisionLog
    link_bytes_per_s: float
    worker_list_period_s: float
    collect_garbage: Callable[[], object] = _ignore
