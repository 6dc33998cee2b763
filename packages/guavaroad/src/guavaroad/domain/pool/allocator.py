"""The allocator: one queue over all workers of every pool.

It takes messages of owners, answers of workers and ticks, and returns actions.
"""

from collections.abc import Iterable

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    intake,
    ledger,
    orphans,
    placing,
    roster,
    run_book,
    run_lists,
    stragglers,
    takeover,
    values,
    work,
    worker,
)


class Allocator:
    """Places tasks on workers for as long as it holds the token.

    Attributes:
        state: What it knows.
        runs: Follows runs.
        reports: Takes lists of workers.
        job_admission: Takes jobs.
        roster: Takes the platform's list of workers.
        orphans: Lets go of the jobs of lost owners.
        takeover: Clears up after the allocator before.
        placer: Places tasks.
    """

    def __init__(
        self, *, token: values.Token, now_s: float, seed: int = 0
    ) -> None:
        self.state = ledger.Ledger(token=token, now_s=now_s, seed=seed)
        self.runs = run_book.RunBook(state=self.state)
        self.reports = run_lists.RunLists(state=self.state, runs=self.runs)
        self.job_admission = intake.Intake(
            state=self.state, runs=self.runs, lists=self.reports
        )
        self.roster = roster.Roster(state=self.state, lists=self.reports)
        self.orphans = orphans.Orphans(state=self.state, runs=self.runs)
        self.takeover = takeover.Takeover(state=self.state)
        self.placer = placing.Placer(state=self.state)

    def pop_actions(self) -> list[actions.Action]:
        """Return what was decided since the last call."""
        return self.state.take_actions()

    def update_workers(
        self, listed: Iterable[worker.Facts], now_s: float
    ) -> None:
        """Take the platform's list of workers."""
        self.roster.take(listed, now_s)

    def tick(self, now_s: float) -> None:
        """See to what time alone decides."""
        self.runs.follow_stops(now_s)
        self.orphans.drop(now_s)
        self.state.closed.forget(now_s)
        for one in tuple(self.state.workers.values()):
            self.watch(one, now_s)
        for pool in self.state.pools.values():
            for job in pool.backlog.overdue(now_s):
                self.give_up_late(pool, job, now_s)
        self.takeover.settle(now_s)

    def give_up_late(
        self, pool: ledger.PoolState, job: work.Job, now_s: float
    ) -> None:
        """Let go of a job that can no longer end in time."""
        waiting_core_s = pool.backlog.core_s_ahead(job.urgency)
        cores = pool.room.cores(now_s)
        self.runs.give_up(
            job,
            values.Verdict.TOO_LATE,
            retry_after_ms=self.job_admission.hint_ms(job, now_s),
            detail=(
                f'{len(job.waiting)} of {len(job.tasks)} tasks still wait, '
                f'{waiting_core_s:.0f} core-seconds wait for {cores:.0f} cores'
            ),
        )

    def watch(self, one: worker.Worker, now_s: float) -> None:
        """See to one worker: silence, leases, stragglers, departure."""
        if one.runs and one.lease.ends_s < now_s:
            self.state.note(
                'worker_lapsed',
                worker=one.facts.worker_id,
                runs=len(one.runs),
                silent_ms=units.to_ms(now_s - one.looked_s),
            )
            self.runs.lapse(one, now_s)
        stragglers.check(self.runs, one, now_s)
        if stragglers.is_overdue(one, now_s):
            one.poked_s = now_s
            self.state.act(actions.PollNow(worker_id=one.facts.worker_id))
        if self.is_gone(one, now_s):
            self.state.note('worker_removed', worker=one.facts.worker_id)
            self.state.pool(one.facts.pool).room.drop(one.facts.worker_id)
            self.state.workers.pop(one.facts.worker_id)
            self.state.act(actions.WorkerRemoved(worker_id=one.facts.worker_id))

    def is_gone(self, one: worker.Worker, now_s: float) -> bool:
        """Return whether a worker is neither listed nor answers."""
        if one.unlisted_s is None or one.runs:
            return False
        last_s = max(one.unlisted_s, one.looked_s)
        return now_s - last_s > run_book.FORGET_S

    def place(self, now_s: float) -> None:
        """Place waiting tasks where there is room."""
        self.placer.place(now_s)
