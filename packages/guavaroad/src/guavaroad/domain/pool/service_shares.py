"""What is on record of the jobs of one pool by size class and by caller.

Answers overload in which every refusal would meet the same callers: large jobs
of a kind, or all behind one instance. A caller is the instance that received
the job: it is the only identity that each declaration shows.
"""

import dataclasses

from guavaroad.domain.pool import job_cost, shares, values, work


@dataclasses.dataclass(slots=True, kw_only=True)
class KindShares:
    """Size classes of one kind of job.

    Attributes:
        bounds: Bounds between the classes.
        sizes: Share of each class.
    """

    bounds: job_cost.SizeBounds = dataclasses.field(
        default_factory=job_cost.SizeBounds
    )
    sizes: shares.Shares = dataclasses.field(default_factory=shares.Shares)


class ServiceShares:
    """Shares of the size classes and of the callers.

    Attributes:
        kinds: Size classes by urgency.
        callers: Share of each instance that received jobs.
    """

    def __init__(self) -> None:
        self.kinds: dict[int, KindShares] = {}
        self.callers = shares.Shares()

    def ask(self, job: work.Job, core_s: float, now_s: float) -> None:
        """Count a new job and set its size class.

        Args:
            job: The job.
            core_s: Its estimated work, in core-seconds.
            now_s: Current time, in seconds.
        """
        kind = self.kinds.setdefault(job.urgency, KindShares())
        job.size = kind.bounds.class_of(core_s)
        kind.bounds.record(core_s)
        kind.sizes.ask(job.size, now_s)
        self.callers.ask(job.owner, now_s)

    def admit(self, job: work.Job, count: int = 1) -> None:
        """Count an admitted job, or with -1 one that was evicted unserved."""
        self.kinds[job.urgency].sizes.admit(job.size, count)
        self.callers.admit(job.owner, count)

    def is_owed(self, job: work.Job) -> bool:
        """Return whether the job's size class or caller is below its floor."""
        sizes = self.kinds[job.urgency].sizes
        return sizes.is_owed(job.size) or self.callers.is_owed(job.owner)

    def is_crowd(self, owner: values.InstanceName) -> bool:
        """Return whether one instance receives much more than the others."""
        return self.callers.is_crowd(owner)
