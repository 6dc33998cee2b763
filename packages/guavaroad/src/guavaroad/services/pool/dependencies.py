"""What every part of a node talks to."""

import dataclasses

from guavaroad.ports import pool, timers
from guavaroad.services.pool import decision_log, instance_links


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Everything that a node talks to.

    Attributes:
        workers: Workers.
        cluster: Rows of the platform's store.
        codec: Reads the platform's texts.
        dialler: Makes links to other instances.
        timers: Clock and calls.
        decision_log: Log of decisions.
    """

    workers: pool.WorkersPort
    cluster: pool.ClusterPort
    codec: pool.CodecPort
    dialler: instance_links.DiallerPort
    timers: timers.TimerService
    decision_log: decision_log.DecisionLog
