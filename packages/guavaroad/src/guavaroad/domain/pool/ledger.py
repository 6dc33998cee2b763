"""What the allocator knows, and the actions that it has decided on."""

import dataclasses
import random

from guavaroad.domain import names, units
from guavaroad.domain.pool import (
    actions,
    admission,
    backlog,
    closed_jobs,
    messages,
    placement,
    reserve,
    values,
    work,
    worker,
)


class PoolState:
    """Workers and waiting jobs of one pool."""

    def __init__(self) -> None:
        self.room = placement.RoomIndex()
        self.backlog = backlog.Backlog()
        self.rates = admission.ArrivalRates()
        self.reserve = reserve.Reserve()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EarlyEnd:
    """An end that was listed before its job was declared.

    Attributes:
        number: Number of the run.
        kind: How it ended.
        seen_s: When.
    """

    number: values.RunNumber
    kind: values.EndKind
    seen_s: float


class Ledger:
    """State shared by the parts of the allocator.

    Attributes:
        token: Its fencing token.
        taken_over_s: When it began.
        jobs: Declared jobs, by id.
        workers: Workers, by id.
        pools: State of each pool.
        closed: How jobs ended that were let go of a moment ago.
        early_ends: Ends of tasks that nobody has declared yet.
        tasks: Tasks of declared jobs, by name.
        silent_owners: Instances whose link is lost; nothing of theirs is
            placed, as another allocator may have their jobs by now.
        booked: Every run that books room, by task.
        doubtful: Tasks that may run on a worker that can't be reached, or
            whose run for a job that was let go of is not over.
        unlisted_runs: Tasks that may run on a worker that no list has named
            yet, and since when that is known.
        pending: Actions not taken out yet.
        random: Source of jitter.
    """

    def __init__(self, *, token: values.Token, now_s: float, seed: int) -> None:
        self.token = token
        self.taken_over_s = now_s
        self.jobs: dict[values.JobId, work.Job] = {}
        self.workers: dict[values.WorkerId, worker.Worker] = {}
        self.pools: dict[names.PoolName, PoolState] = {}
        self.closed = closed_jobs.ClosedJobs(now_s=now_s)
        self.early_ends: dict[values.TaskName, EarlyEnd] = {}
        self.tasks: dict[values.TaskName, work.Task] = {}
        self.silent_owners: set[values.InstanceName] = set()
        self.booked: dict[values.TaskName, worker.Run] = {}
        self.doubtful: list[work.Task] = []
        self.unlisted_runs: list[tuple[float, work.Task]] = []
        self.pending: list[actions.Action] = []
        self.random = random.Random(seed)

    def act(self, action: actions.Action) -> None:
        """Decide on an action."""
        self.pending.append(action)

    def take_actions(self) -> list[actions.Action]:
        """Return what was decided since the last call."""
        taken = self.pending
        self.pending = []
        return taken

    def tell(self, job: work.Job, message: messages.ToOwner) -> None:
        """Send a message to the owner of a job."""
        self.pending.append(
            actions.NotifyOwner(owner=job.owner, message=message)
        )

    def note(self, event: str, **fields: object) -> None:
        """Log a decision."""
        self.pending.append(actions.LogEvent(event=event, fields=fields))

    def note_ejected(
        self, one: worker.Worker, reason: str, now_s: float
    ) -> None:
        """Log that a worker takes no work for a while."""
        self.note(
            'worker_ejected',
            worker=one.facts.worker_id,
            reason=reason,
            failures=one.standing.failures,
            pace=round(one.standing.pace, 2),
            pause_ms=units.to_ms(one.standing.out_until_s - now_s),
        )

    def pool(self, name: names.PoolName) -> PoolState:
        """Return the state of a pool."""
        state = self.pools.get(name)
        if state is None:
            state = PoolState()
            self.pools[name] = state
        return state

    def refile(self, one: worker.Worker) -> None:
        """Put a worker where its free cores belong."""
        self.pool(one.facts.pool).room.refile(one)

    def release(self, one: worker.Worker, name: values.TaskName) -> bool:
        """Free the room of a run; return whether it was booked."""
        run = one.release(name)
        if run is None:
            return False
        if self.booked.get(name) is run:
            self.booked.pop(name)
        self.refile(one)
        task = run.task
        if task.worker == one.facts.worker_id:
            task.worker = None
        return True

    def wait_again(self, task: work.Task, now_s: float) -> None:
        """Let a task wait for another start, if its job is still open."""
        if task.job.closed or task.done or task.worker is not None:
            return
        if not task.job.may_begin(task.step):
            task.job.held.append(task)
            return
        before = self.booked.get(task.name)
        if before is not None:
            after = values.RunNumber(before.number + 1)
            task.next_run = max(task.next_run, after)
        in_doubt = task.job.doubt_until_s > now_s and not self.all_readable()
        if before is not None or in_doubt:
            self.doubtful.append(task)
            return
        self.pool(task.job.pool).backlog.add(task, now_s)

    def all_readable(self) -> bool:
        """Return whether the list of every worker has been read."""
        return bool(self.workers) and all(
            one.readable for one in self.workers.values()
        )

    def settle_doubts(self, now_s: float) -> None:
        """Let tasks wait for a start that were held back in doubt."""
        held = self.doubtful
        self.doubtful = []
        for task in held:
            self.wait_again(task, now_s)

    def close(self, job: work.Job) -> None:
        """Let go of a job; what runs of it is the caller's to stop."""
        job.closed = True
        self.pool(job.pool).backlog.remove(job)
        if self.jobs.get(job.job_id) is job:
            self.jobs.pop(job.job_id)
        for task in job.tasks:
            if self.tasks.get(task.name) is task:
                self.tasks.pop(task.name)

    def book(self, one: worker.Worker, run: worker.Run) -> None:
        """Take room on a worker for a run."""
        one.book(run)
        self.booked[run.task.name] = run
        run.task.worker = one.facts.worker_id
        run.task.next_run = values.RunNumber(
            max(run.task.next_run, run.number + 1)
        )
        self.refile(one)
