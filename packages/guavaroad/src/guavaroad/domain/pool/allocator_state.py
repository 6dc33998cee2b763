"""State that the parts of the allocator share, and its pending actions."""

import dataclasses
import random

from guavaroad.domain import names, units
from guavaroad.domain.pool import (
    actions,
    closed_jobs,
    messages,
    open_runs,
    owner_contacts,
    pool_state,
    values,
    work,
    worker,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EarlyEnd:
    """An end of a run that was reported before its job was declared.

    Attributes:
        number: Run number.
        kind: How the run ended.
        recorded_s: Local time at which the end was recorded.
    """

    number: values.RunNumber
    kind: values.EndKind
    recorded_s: float


class AllocatorState:
    """State shared by the parts of the allocator.

    Attributes:
        token: Fencing token of the allocator.
        taken_over_s: Time at which it became the active allocator.
        jobs: Declared jobs by id.
        workers: Workers by id.
        pools: State of each pool.
        closed: How recently closed jobs ended.
        early_ends: Reported ends of tasks that no owner has declared yet.
        tasks: Tasks of declared jobs by name.
        contacts: When the owners were last heard from, and which are lost.
        runs: Runs that are not known to be over.
        unconfirmed_tasks: Tasks that may still run on an unreachable worker, or
            whose run for a closed job or unclaimed run is not over.
        unlisted_tasks: Tasks that may run on a worker that is not in the
            platform's list yet, each with the time since when that is known.
        pending: Actions that have not been returned yet.
        random: Source of jitter.
    """

    def __init__(self, *, token: values.Token, now_s: float, seed: int) -> None:
        self.token = token
        self.taken_over_s = now_s
        self.jobs: dict[values.JobId, work.Job] = {}
        self.workers: dict[values.WorkerId, worker.Worker] = {}
        self.pools: dict[names.PoolName, pool_state.PoolState] = {}
        self.closed = closed_jobs.ClosedJobs(now_s=now_s)
        self.early_ends: dict[values.TaskName, EarlyEnd] = {}
        self.tasks: dict[values.TaskName, work.Task] = {}
        self.contacts = owner_contacts.OwnerContacts(now_s=now_s)
        self.runs = open_runs.OpenRuns()
        self.unconfirmed_tasks: list[work.Task] = []
        self.unlisted_tasks: list[tuple[float, work.Task]] = []
        self.pending: list[actions.Action] = []
        self.random = random.Random(seed)

    def add_action(self, action: actions.Action) -> None:
        """Add an action to the pending ones."""
        self.pending.append(action)

    def pop_actions(self) -> list[actions.Action]:
        """Return the pending actions and clear them."""
        popped = self.pending
        self.pending = []
        return popped

    def notify_owner(self, job: work.Job, message: messages.ToOwner) -> None:
        """Send a message to the owner of a job."""
        self.pending.append(
            actions.NotifyOwner(owner=job.owner, message=message)
        )

    def log_event(self, event: str, **fields: object) -> None:
        """Write an event to the decision log."""
        self.pending.append(actions.LogEvent(event=event, fields=fields))

    def log_ejection(
        self, worker_state: worker.Worker, reason: str, now_s: float
    ) -> None:
        """Log that a worker gets no tasks for some time."""
        self.log_event(
            'worker_ejected',
            worker=worker_state.worker_info.worker_id,
            reason=reason,
            failures=worker_state.health.failures,
            log_odds=round(worker_state.health.log_odds, 1),
            pace=round(worker_state.health.run_time_ratio, 2),
            pause_ms=units.to_ms(worker_state.health.ejected_until_s - now_s),
        )

    def pool(self, name: names.PoolName) -> pool_state.PoolState:
        """Return the state of a pool; create it if needed."""
        state = self.pools.get(name)
        if state is None:
            state = pool_state.PoolState()
            self.pools[name] = state
        return state

    def update_capacity(
        self, worker_state: worker.Worker, now_s: float | None = None
    ) -> None:
        """Update a worker in the capacity index of its pool.

        Args:
            worker_state: The worker.
            now_s: Current time, in seconds; None to keep its group.
        """
        pool = self.pool(worker_state.worker_info.pool)
        pool.capacity.update(worker_state, now_s)

    def remove_run(
        self, worker_state: worker.Worker, name: values.TaskName
    ) -> bool:
        """Free the capacity of a run; return whether the run was tracked."""
        run = worker_state.remove_run(name)
        if run is None:
            return False
        self.runs.untrack(run)
        self.update_capacity(worker_state)
        task = run.task
        if task.worker == worker_state.worker_info.worker_id:
            task.worker = None
        return True

    def queue_task(self, task: work.Task, now_s: float) -> None:
        """Queue a task for its next start, if its job is still open.

        A task may have been held back more than once, if a run of it was found
        and ended in between.
        """
        if task.job.closed or task.done or task.worker is not None:
            return
        if task.name in task.job.waiting:
            return
        if not task.job.may_begin(task.step):
            task.job.held.append(task)
            return
        previous = self.runs.last_number(task.name)
        if previous is not None:
            after = values.RunNumber(previous + 1)
            task.next_run = max(task.next_run, after)
        is_unconfirmed = (
            task.job.unconfirmed_until_s > now_s and not self.all_synced()
        )
        if previous is not None or is_unconfirmed:
            self.unconfirmed_tasks.append(task)
            return
        self.pool(task.job.pool).backlog.add(task, now_s)

    def all_synced(self) -> bool:
        """Return whether every worker has sent a run report."""
        return bool(self.workers) and all(
            worker_state.is_synced for worker_state in self.workers.values()
        )

    def queue_unconfirmed(self, now_s: float) -> None:
        """Try again to queue the unconfirmed tasks."""
        held = self.unconfirmed_tasks
        self.unconfirmed_tasks = []
        for task in held:
            self.queue_task(task, now_s)

    def close(self, job: work.Job) -> None:
        """Remove a job; the caller stops its runs."""
        job.closed = True
        self.pool(job.pool).backlog.remove_job(job)
        if self.jobs.get(job.job_id) is job:
            self.jobs.pop(job.job_id)
        for task in job.tasks:
            if self.tasks.get(task.name) is task:
                self.tasks.pop(task.name)

    def add_run(self, worker_state: worker.Worker, run: worker.Run) -> None:
        """Reserve capacity on a worker for a run."""
        worker_state.add_run(run)
        self.runs.track(run)
        run.task.worker = worker_state.worker_info.worker_id
        run.task.next_run = values.RunNumber(
            max(run.task.next_run, run.number + 1)
        )
        self.update_capacity(worker_state)
