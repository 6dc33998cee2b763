"""Refuses and evicts jobs when there is more work than room.

Answers overload: a job that can't be served usefully is refused at once with a
time to return, and a waiting job that has become late gives its place to those
that can still be in time. A job whose tasks fit on the workers right now is
never refused. What is decided is in `scarcity`; this module gathers the inputs
and carries the decision out.
"""

from typing import Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    admission,
    allocator_state,
    declared_jobs,
    free_room,
    job_cost,
    pool_state,
    run_tracker,
    scarcity,
    values,
    work,
)

# After a takeover the workers become usable one by one. In this time, in
# seconds, no job is refused for lack of capacity.
WARM_UP_S: Final = 0.5
# Jobs older than this on arrival, in seconds, have waited for a new allocator.
# They come all at once and say nothing about the rate of new work.
NEW_JOB_AGE_S: Final = 0.2
# Late jobs that one tick evicts, so that it stays short.
MAX_EVICTIONS: Final = 200


class LoadShedder:
    """Refuses new jobs and evicts waiting ones.

    Attributes:
        state: State of the allocator.
        runs: Tracks runs.
    """

    def __init__(
        self,
        *,
        state: allocator_state.AllocatorState,
        runs: run_tracker.RunTracker,
    ) -> None:
        self.state = state
        self.runs = runs

    def refuse_if_overloaded(self, job: work.Job, now_s: float) -> bool:
        """Refuse a job that no worker fits or that would wait too long.

        Returns:
            Whether the job was refused.
        """
        if job.may_have_started:
            return False
        pool = self.state.pool(job.pool)
        core_s = job_cost.core_s_of(job.tasks)
        if now_s - job.arrived_s <= NEW_JOB_AGE_S:
            pool.room.asked.add(job.urgency, core_s, now_s)
        pool.reserve.record_arrival(job, now_s)
        pool.shares.ask(job, core_s, now_s)
        if self.is_warming_up(pool, now_s):
            pool.shares.admit(job)
            return False
        if not all(map(pool.capacity.could_run, job.tasks)):
            self.runs.give_up(
                job,
                values.GiveUpReason.NO_WORKER_FITS,
                detail=f'{len(pool.capacity.workers)} workers listed',
            )
            return True
        if self.is_admitted(pool, job, now_s):
            pool.shares.admit(job)
            return False
        self.refuse(pool, job, now_s)
        return True

    def is_admitted(
        self, pool: pool_state.PoolState, job: work.Job, now_s: float
    ) -> bool:
        """Return whether a new job is queued rather than refused."""
        if not pool.backlog.on_time_core_s(job.urgency):
            return True
        limit_s = scarcity.longest_wait_s(
            scarcity.Candidate(
                in_time_s=job.objective_start_s - now_s,
                useful_s=job.give_up_s - now_s,
                size=job.size,
                is_owed=pool.returns.has_returned(job.job_id)
                or pool.shares.is_owed(job),
                is_crowd=pool.shares.is_crowd(job.owner),
            ),
            is_short=pool.room.is_short(
                job.urgency, pool.capacity.cores(now_s)
            ),
        )
        if self.expected_wait_s(job, now_s) <= limit_s:
            return True
        return self.fits_now(pool, job, now_s)

    def fits_now(
        self, pool: pool_state.PoolState, job: work.Job, now_s: float
    ) -> bool:
        """Return whether the first tasks of a job could start right now."""
        first = [
            task
            for task in job.tasks
            if not task.done and job.may_begin(task.step)
        ]
        spared_cores = pool.reserve.cores_for(job.urgency)
        return free_room.fits_now(
            pool.capacity,
            first,
            spared_cores * values.CPU_MILLIS_PER_CORE,
            now_s,
        )

    def refuse(
        self, pool: pool_state.PoolState, job: work.Job, now_s: float
    ) -> None:
        """Refuse a job that has just arrived."""
        wait_s = self.expected_wait_s(job, now_s)
        ahead_core_s = pool.backlog.on_time_core_s(job.urgency)
        self.log_shed('job_refused', job, wait_s, now_s)
        self.runs.give_up(
            job,
            values.GiveUpReason.OVERLOADED,
            retry_after_ms=self.retry_after_ms(job, now_s),
            detail=declared_jobs.describe_wait(
                wait_s, ahead_core_s, job.objective_start_s - now_s
            ),
        )

    def evict_late(self, now_s: float) -> None:
        """Evict late jobs without a start of the kinds that are short."""
        for pool in self.state.pools.values():
            if not self.is_warming_up(pool, now_s):
                self.evict_late_of(pool, now_s)

    def evict_late_of(self, pool: pool_state.PoolState, now_s: float) -> None:
        """Evict late jobs of one pool."""
        cores = pool.capacity.cores(now_s)
        for urgency in pool.backlog.lanes:
            if pool.room.is_short(urgency, cores):
                for job in pool.backlog.late_jobs(urgency)[:MAX_EVICTIONS]:
                    self.evict(pool, job, now_s)

    def evict(
        self, pool: pool_state.PoolState, job: work.Job, now_s: float
    ) -> None:
        """Evict a late job, unless its tasks fit right now."""
        if self.fits_now(pool, job, now_s):
            return
        pool.shares.admit(job, -1)
        self.log_shed(
            'job_evicted', job, self.expected_wait_s(job, now_s), now_s
        )
        self.runs.give_up(
            job,
            values.GiveUpReason.OVERLOADED,
            retry_after_ms=self.retry_after_ms(job, now_s),
            detail='late, and more work arrives than the workers can do',
        )

    def log_shed(
        self, event: str, job: work.Job, wait_s: float, now_s: float
    ) -> None:
        """Log a refused or evicted job."""
        wait_s = min(wait_s, declared_jobs.MAX_REPORTED_WAIT_S)
        capacity = self.state.pool(job.pool).capacity
        self.state.log_event(
            event,
            job=job.job_id,
            urgency=job.urgency,
            size=job.size.value,
            core_s=round(job_cost.core_s_of(job.tasks), 1),
            free_cores=capacity.free_cpu // values.CPU_MILLIS_PER_CORE,
            gap_cores=free_room.largest_gap_cpu(capacity, now_s)
            // values.CPU_MILLIS_PER_CORE,
            expected_ms=units.to_ms(wait_s),
            age_ms=units.to_ms(now_s - job.arrived_s),
        )

    def is_warming_up(self, pool: pool_state.PoolState, now_s: float) -> bool:
        """Return whether too few workers are usable yet to refuse jobs."""
        since_s = now_s - self.state.taken_over_s
        return since_s < WARM_UP_S or not pool.capacity.cores(now_s)

    def retry_after_ms(self, job: work.Job, now_s: float) -> int:
        """Book the return of a refused job; return its hint in milliseconds."""
        pool = self.state.pool(job.pool)
        cores = pool.capacity.cores(now_s)
        pool.returns.remember(job.job_id)
        booked_s = pool.returns.book(
            urgency=job.urgency,
            core_s=job_cost.core_s_of(job.tasks),
            wait_s=self.expected_wait_s(job, now_s),
            spare_cores=pool.room.spare_cores(job.urgency, cores),
            jitter=self.state.random.random(),
            now_s=now_s,
        )
        return admission.retry_after_ms(booked_s)

    def expected_wait_s(self, job: work.Job, now_s: float) -> float:
        """Return the expected wait of a job for a start, in seconds."""
        pool = self.state.pool(job.pool)
        cores = pool.capacity.cores(now_s)
        return admission.expected_wait_s(
            ahead_core_s=pool.backlog.on_time_core_s(job.urgency),
            cores=pool.room.cores_for(job.urgency, cores),
        )
