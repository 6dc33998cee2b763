"""One worker as the allocator sees it: room, runs, lease and standing."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.pool import leases, standings, values, work


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Facts:
    """What the platform's list tells of a worker.

    Attributes:
        worker_id: Its id.
        address: Where it takes orders, `host:port`.
        zone: Availability zone that it is in.
        pool: Workers that it belongs to.
        labels: Its kind and its rack.
        capacity: What it has.
        draining: Whether it is leaving.
        started_ms: Start of this life, in milliseconds since 1970; 0 if
            unknown.
    """

    worker_id: values.WorkerId
    address: str
    zone: names.AvailabilityZone
    pool: names.PoolName
    labels: tuple[str, ...]
    capacity: values.Amount
    draining: bool
    started_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a task on a worker; it books the room of the task.

    Attributes:
        task: What runs.
        number: Number of the start.
        state: What is known of it.
        ordered_s: When it was ordered.
        known_s: A list sent later than this must show it while it runs.
        percent: Progress by the last list.
        moved_s: When the progress last changed.
    """

    task: work.Task
    number: values.RunNumber
    state: values.RunState
    ordered_s: float
    known_s: float
    percent: int = 0
    moved_s: float = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Worker:
    """One life of a worker.

    Attributes:
        facts: What the list tells.
        lease: Its clock, and until when its runs may live.
        standing: What speaks against it.
        free_cpu: Thousandths of a core that are not booked.
        free_memory_mb: Memory that is not booked.
        free_gpu: Accelerators that are not booked.
        runs: Runs that book room, by task.
        unclaimed_runs: Listed runs of which no job is known.
        readable: Whether its list has been read under this token.
        last_end: Number of the last end that was taken note of.
        looked_s: When the last answered look was sent.
        listed_ms: Clock of the worker on its newest list.
        strange_s: Since when it has listed strangers; none if it does not.
        poked_s: When it was last looked at beside the look that waits.
        cleared_s: When its strangers were last ordered to stop.
        unlisted_s: When it was missing from the list; none if it is there.
        life_s: When this life was first heard of.
    """

    facts: Facts
    lease: leases.Lease
    standing: standings.Standing = dataclasses.field(
        default_factory=standings.Standing
    )
    free_cpu: int = 0
    free_memory_mb: int = 0
    free_gpu: int = 0
    runs: dict[values.TaskName, Run] = dataclasses.field(default_factory=dict)
    unclaimed_runs: dict[values.TaskName, values.RunNumber] = dataclasses.field(
        default_factory=dict
    )
    readable: bool = False
    last_end: int = 0
    looked_s: float = 0
    strange_s: float | None = None
    poked_s: float = 0
    listed_ms: int = -1
    cleared_s: float = 0
    unlisted_s: float | None = None
    life_s: float = 0

    def is_from_before(self, born_ms: int, sent_s: float) -> bool:
        """Return whether a list is of a life that is over.

        Args:
            born_ms: Start of the life that it is of; 0 if unknown.
            sent_s: When it was asked for.
        """
        return 0 < born_ms < self.facts.started_ms and sent_s <= self.life_s

    def may_extend_lease(self) -> bool:
        """Return whether the lease of all that runs may be extended.

        It may not while runs of unknown jobs are listed: another allocator
        that can't reach the worker may count on the end of their lease.
        """
        return self.readable and not self.unclaimed_runs

    def fits(self, need: values.Amount) -> bool:
        """Return whether there is room for a task."""
        return (
            self.free_cpu >= need.cpu
            and self.free_memory_mb >= need.memory_mb
            and self.free_gpu >= need.gpu
        )

    def book(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.task.name] = run
        self.take(run.task.need, 1)

    def release(self, name: values.TaskName) -> Run | None:
        """Free the room of a run, and return it if it was booked."""
        run = self.runs.pop(name, None)
        if run is not None:
            self.take(run.task.need, -1)
        return run

    def take(self, need: values.Amount, times: int) -> None:
        """Book an amount, or free it where `times` is negative."""
        self.free_cpu -= need.cpu * times
        self.free_memory_mb -= need.memory_mb * times
        self.free_gpu -= need.gpu * times

    def resize(self, facts: Facts) -> None:
        """Take new facts and count the free room anew."""
        self.facts = facts
        self.free_cpu = facts.capacity.cpu
        self.free_memory_mb = facts.capacity.memory_mb
        self.free_gpu = facts.capacity.gpu
        for run in self.runs.values():
            self.take(run.task.need, 1)
