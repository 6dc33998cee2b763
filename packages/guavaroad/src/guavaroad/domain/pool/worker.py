"""One worker as tracked by the allocator: capacity, runs, lease and health."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.pool import (
    leases,
    owner_contacts,
    values,
    work,
    worker_health,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerInfo:
    """Entry of a worker in the platform's list.

    Attributes:
        worker_id: Id of the worker.
        address: Address at which it accepts orders, `host:port`.
        zone: Availability zone that it is in.
        pool: Pool that it belongs to.
        labels: Labels of its kind and its rack.
        capacity: Resources that it has.
        draining: Whether it is about to leave and must get no new tasks.
        started_ms: Start of this incarnation, in milliseconds since 1970; 0 if
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
    """One run of a task on a worker; it holds the capacity that it needs.

    Times are on the allocator's clock, in seconds.

    Attributes:
        task: Task that runs.
        number: Run number.
        state: State of the run.
        ordered_s: Time at which it was ordered.
        reportable_s: A report polled after this time must list the run for as
            long as it runs.
        percent: Progress in the last report, in percent.
        progressed_s: Time at which the progress last changed.
        has_begun: Whether the worker has accepted or reported it.
        is_adopted: Whether another allocator may have ordered it, so that its
            run time is unknown.
        is_overrun: Whether it counts as a straggler already.
    """

    task: work.Task
    number: values.RunNumber
    state: values.RunState
    ordered_s: float
    reportable_s: float
    percent: int = 0
    progressed_s: float = 0
    has_begun: bool = False
    is_adopted: bool = False
    is_overrun: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Worker:
    """One incarnation of a worker.

    Times are on the allocator's clock, in seconds.

    Attributes:
        worker_info: Its entry in the platform's list.
        lease: Its clock and the time until which it may run tasks.
        contacts: When the owners of its runs were heard from.
        health: Recent failures and the resulting pause.
        free_cpu: Thousandths of a core that no run holds.
        free_memory_mb: Memory that no run holds, in MB.
        free_gpu: Number of accelerators that no run holds.
        runs: Runs that hold capacity, by task.
        unclaimed_runs: Reported runs that belong to no tracked job.
        is_synced: Whether a run report has been received under this token since
            the last failure.
        lapsed_runs: Runs that have lapsed since its last answer.
        last_end_position: Sequence number of the last recorded end.
        last_poll_s: Time at which the last answered status poll was sent.
        report_clock_ms: Worker's clock in its newest report, in milliseconds.
        unclaimed_since_s: Time since which it reports unclaimed runs; None if
            it does not.
        extra_poll_s: Time of the last extra status poll.
        unclaimed_stop_s: Time at which its unclaimed runs were last stopped.
        unlisted_since_s: Time at which it was first missing from the platform's
            list; None if it is listed.
        previous_started_ms: Start of the previous incarnation, in milliseconds
            since 1970; 0 if none is known.
        incarnation_seen_s: Time at which this incarnation was first observed.
        is_evacuated: Whether its availability zone must get no tasks.
    """

    worker_info: WorkerInfo
    lease: leases.Lease
    contacts: owner_contacts.OwnerContacts
    health: worker_health.WorkerHealth = dataclasses.field(
        default_factory=worker_health.WorkerHealth
    )
    free_cpu: int = 0
    free_memory_mb: int = 0
    free_gpu: int = 0
    runs: dict[values.TaskName, Run] = dataclasses.field(default_factory=dict)
    unclaimed_runs: dict[values.TaskName, values.RunNumber] = dataclasses.field(
        default_factory=dict
    )
    is_synced: bool = False
    lapsed_runs: list[Run] = dataclasses.field(default_factory=list)
    last_end_position: int = 0
    last_poll_s: float = 0
    unclaimed_since_s: float | None = None
    extra_poll_s: float = 0
    report_clock_ms: int = -1
    unclaimed_stop_s: float = 0
    unlisted_since_s: float | None = None
    previous_started_ms: int = 0
    incarnation_seen_s: float = 0
    is_evacuated: bool = False

    def is_from_earlier_incarnation(
        self, started_ms: int, sent_s: float
    ) -> bool:
        """Return whether a report is from an earlier incarnation.

        Clocks are set back between two starts, so that the earlier one may seem
        to be later.

        Args:
            started_ms: Start of the incarnation that sent the report, in
                milliseconds since 1970; 0 if unknown.
            sent_s: Time at which the status poll was sent, in seconds.
        """
        return (
            started_ms not in {0, self.worker_info.started_ms}
            and sent_s <= self.incarnation_seen_s
        )

    def read_clock(self, run: Run, clock_ms: int, now_s: float) -> None:
        """Record the clock in the answer to a start.

        An earlier incarnation may have answered, by its own clock, if the start
        was ordered before the present one was observed.

        Args:
            run: The run that was started.
            clock_ms: Worker's clock, in milliseconds; negative if not sent.
            now_s: Local time at which the answer arrived, in seconds.
        """
        if clock_ms >= 0 and run.ordered_s >= self.incarnation_seen_s:
            self.lease.read_clock(clock_ms, now_s)

    def is_withdrawn(self) -> bool:
        """Return whether it is about to leave, or its zone is evacuated."""
        return self.worker_info.draining or self.is_evacuated

    def may_have_runs(self) -> bool:
        """Return whether it may have any run."""
        return bool(self.runs or self.unclaimed_runs)

    def has_suspect(self) -> bool:
        """Return whether it runs a task that may have crashed a worker."""
        return any(run.task.losses for run in self.runs.values())

    def may_extend_lease(self, now_s: float) -> bool:
        """Return whether the lease of the worker's runs may be extended.

        An allocator that can't reach the worker may rely on the end of their
        lease. So it may not be extended while the worker reports unclaimed
        runs, or may have a run whose owner is silent; also if the job of that
        run is closed, until its end is confirmed.

        Args:
            now_s: Current time, in seconds.
        """
        if not self.is_synced or self.unclaimed_runs:
            return False
        return self.lease_limit_s() - now_s >= leases.MIN_EXTENSION_S

    def lease_limit_s(self) -> float:
        """Return the local time at which its lease has to end, in seconds."""
        return self.contacts.lease_limit_s(
            run.task.job.owner for run in self.runs.values()
        )

    def extend_lease(self, now_s: float) -> int:
        """Extend the lease as far as the owners of all runs allow.

        Returns:
            End of the lease on the worker's clock, in milliseconds.
        """
        return self.lease.extend(now_s, self.lease_limit_s())

    def has_silent_owner(self) -> bool:
        """Return whether it may have a run whose owner is silent."""
        silent = self.contacts.silent
        return bool(silent) and any(
            run.task.job.owner in silent for run in self.runs.values()
        )

    def fits(self, need: values.Amount) -> bool:
        """Return whether there is enough free capacity for a task."""
        return (
            self.free_cpu >= need.cpu
            and self.free_memory_mb >= need.memory_mb
            and self.free_gpu >= need.gpu
        )

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its capacity."""
        self.runs[run.task.name] = run
        self.reserve(run.task.need, 1)

    def remove_run(self, name: values.TaskName) -> Run | None:
        """Remove a run and free its capacity.

        Returns:
            The run, or None if there is none for the task.
        """
        run = self.runs.pop(name, None)
        if run is not None:
            self.reserve(run.task.need, -1)
        return run

    def reserve(self, need: values.Amount, times: int) -> None:
        """Reserve an amount, or free it if `times` is negative."""
        self.free_cpu -= need.cpu * times
        self.free_memory_mb -= need.memory_mb * times
        self.free_gpu -= need.gpu * times

    def resize(self, worker_info: WorkerInfo) -> None:
        """Replace the list entry and recompute the free capacity."""
        self.worker_info = worker_info
        self.free_cpu = worker_info.capacity.cpu
        self.free_memory_mb = worker_info.capacity.memory_mb
        self.free_gpu = worker_info.capacity.gpu
        for run in self.runs.values():
            self.reserve(run.task.need, 1)
