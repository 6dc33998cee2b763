"""The allocator: one queue over all workers of every pool.

It receives messages from owners, answers from workers and clock ticks, and
returns actions.
"""

from collections.abc import Iterable
from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    allocator_state,
    job_admission,
    orphans,
    placement_scheduler,
    pool_state,
    run_tracker,
    stragglers,
    takeover,
    values,
    work,
    worker,
    worker_registry,
    worker_reports,
)

# Ticks after which every worker was checked. A check visits all runs; those of
# hundreds of workers in each tick would take several percent of a core.
CHECK_PARTS: Final = 2
# Ticks after which every worker is in the group that it belongs to.
REGROUP_PARTS: Final = 10
# Interval between log lines about the groups of workers, in seconds.
LOG_GROUPS_S: Final = 5


class Allocator:
    """Places tasks on workers for as long as it holds the fencing token.

    Attributes:
        state: State shared by the parts of the allocator.
        runs: Tracks runs.
        reports: Processes the run reports of workers.
        job_admission: Admits and withdraws jobs.
        worker_registry: Applies the platform's list of workers.
        orphans: Gives up the jobs of lost owners.
        takeover: Cleans up after the previous allocator.
        placement_scheduler: Places tasks.
        checked_part: Part of the workers that was last checked.
        regrouped_part: Part of the workers that was last grouped.
        groups_logged_s: Time of the last log line about the groups of workers.
    """

    def __init__(
        self, *, token: values.Token, now_s: float, seed: int = 0
    ) -> None:
        self.state = allocator_state.AllocatorState(
            token=token, now_s=now_s, seed=seed
        )
        self.runs = run_tracker.RunTracker(state=self.state)
        self.reports = worker_reports.WorkerReports(
            state=self.state, runs=self.runs
        )
        self.job_admission = job_admission.JobAdmission(
            state=self.state, runs=self.runs, reports=self.reports
        )
        self.worker_registry = worker_registry.WorkerRegistry(
            state=self.state, reports=self.reports
        )
        self.orphans = orphans.Orphans(state=self.state, runs=self.runs)
        self.takeover = takeover.Takeover(state=self.state)
        self.checked_part = 0
        self.regrouped_part = 0
        self.groups_logged_s = now_s
        self.placement_scheduler = placement_scheduler.PlacementScheduler(
            state=self.state
        )

    def pop_actions(self) -> list[actions.Action]:
        """Return the pending actions and clear them."""
        return self.state.pop_actions()

    def update_workers(
        self, listed: Iterable[worker.WorkerInfo], now_s: float
    ) -> None:
        """Apply the platform's list of workers."""
        self.worker_registry.update(listed, now_s)

    def tick(self, now_s: float) -> None:
        """Make the decisions that depend on time alone."""
        self.check_owners(now_s)
        self.runs.follow_stops(now_s)
        self.runs.refused_starts.queue_due(now_s)
        self.orphans.drop_expired(now_s)
        self.state.closed.expire(now_s)
        self.runs.crashes.records.expire(now_s)
        self.check_workers(now_s)
        for pool in self.state.pools.values():
            for job in pool.backlog.expired_jobs(now_s):
                self.give_up_late(pool, job, now_s)
        self.job_admission.shedder.evict_late(now_s)
        self.takeover.clean_up(now_s)
        self.log_groups(now_s)

    def check_owners(self, now_s: float) -> None:
        """Update which owners are silent, and log those that have become so."""
        contacts = self.state.contacts
        for owner in contacts.tick(now_s):
            self.state.log_event(
                'owner_silent',
                owner=owner,
                silent_ms=units.to_ms(now_s - contacts.contact_s[owner]),
            )

    def log_groups(self, now_s: float) -> None:
        """Log the groups of the workers of pools that have several."""
        if now_s - self.groups_logged_s < LOG_GROUPS_S:
            return
        self.groups_logged_s = now_s
        for name, pool in self.state.pools.items():
            sizes = pool.capacity.group_sizes()
            if len(sizes) > 1:
                self.state.log_event(
                    'worker_groups',
                    pool=name,
                    groups=sizes,
                    task_faults=round(pool.task_faults.share, 3),
                    overruns=round(pool.overruns.share, 3),
                )

    def check_workers(self, now_s: float) -> None:
        """Check a part of the workers, so that each is checked in turn."""
        self.checked_part = (self.checked_part + 1) % CHECK_PARTS
        workers = tuple(self.state.workers.values())
        for worker_state in workers[self.checked_part :: CHECK_PARTS]:
            self.check_worker(worker_state, now_s)
        # A worker also joins another group by the passage of time alone.
        self.regrouped_part = (self.regrouped_part + 1) % REGROUP_PARTS
        for worker_state in workers[self.regrouped_part :: REGROUP_PARTS]:
            if worker_state.worker_info.worker_id in self.state.workers:
                self.state.update_capacity(worker_state, now_s)

    def give_up_late(
        self, pool: pool_state.PoolState, job: work.Job, now_s: float
    ) -> None:
        """Give up a job that can no longer finish in time."""
        waiting_core_s = pool.backlog.core_s_ahead(job.urgency)
        cores = pool.capacity.cores(now_s)
        self.runs.give_up(
            job,
            values.GiveUpReason.TOO_LATE,
            retry_after_ms=self.job_admission.shedder.retry_after_ms(
                job, now_s
            ),
            detail=(
                f'{len(job.waiting)} of {len(job.tasks)} tasks still wait, '
                f'{waiting_core_s:.0f} core-seconds wait for {cores:.0f} cores'
            ),
        )

    def check_worker(self, worker_state: worker.Worker, now_s: float) -> None:
        """Check a worker for lapsed leases, stragglers and removal."""
        if worker_state.may_have_runs() and worker_state.lease.ends_s < now_s:
            self.state.log_event(
                'worker_lapsed',
                worker=worker_state.worker_info.worker_id,
                runs=len(worker_state.runs),
                silent_ms=units.to_ms(now_s - worker_state.last_poll_s),
            )
            self.reports.lost_workers.on_lapsed(worker_state, now_s)
        stragglers.stop_stragglers(self.runs, worker_state, now_s)
        repeat_s = self.reports.answer_times.repeat_interval_s()
        if stragglers.needs_extra_poll(worker_state, now_s, repeat_s):
            worker_state.extra_poll_s = now_s
            self.state.add_action(
                actions.PollNow(worker_id=worker_state.worker_info.worker_id)
            )
        if self.is_gone(worker_state, now_s):
            self.state.log_event(
                'worker_removed', worker=worker_state.worker_info.worker_id
            )
            pool = self.state.pool(worker_state.worker_info.pool)
            pool.capacity.remove(worker_state.worker_info.worker_id)
            pool.run_times.forget(worker_state.worker_info.worker_id)
            self.state.workers.pop(worker_state.worker_info.worker_id)
            self.state.add_action(
                actions.WorkerRemoved(
                    worker_id=worker_state.worker_info.worker_id
                )
            )

    def is_gone(self, worker_state: worker.Worker, now_s: float) -> bool:
        """Return whether a worker is neither listed nor answers polls."""
        if worker_state.unlisted_since_s is None or worker_state.runs:
            return False
        last_s = max(worker_state.unlisted_since_s, worker_state.last_poll_s)
        return now_s - last_s > run_tracker.FORGET_WORKER_S

    def place(self, now_s: float) -> None:
        """Place waiting tasks where there is free capacity."""
        self.placement_scheduler.place(now_s)
