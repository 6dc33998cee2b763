"""Jobs as owners declare, withdraw and lose them."""

from typing import Final

from guavaroad.domain.pool import (
    actions,
    admission,
    closed_jobs,
    declared_jobs,
    ledger,
    messages,
    outcomes,
    run_book,
    run_lists,
    values,
    work,
    worker,
)

# Another allocator may have started tasks without the owner's knowledge just
# before they lost each other.  It lets go of the owner's jobs after the silence
# that tells or the grace below; until then such tasks wait, in seconds from
# their declaration, unless every worker's list has been read.
DOUBT_S: Final = 0.5
# After a takeover workers become usable one by one; nothing is refused for
# want of room in this time, in seconds.
SETTLING_S: Final = 0.5


class Intake:
    """Takes jobs in and lets them go.

    Attributes:
        state: What the allocator knows.
        runs: Follows runs.
        lists: Takes lists of workers.
    """

    def __init__(
        self,
        *,
        state: ledger.Ledger,
        runs: run_book.RunBook,
        lists: run_lists.RunLists,
    ) -> None:
        self.state = state
        self.runs = runs
        self.lists = lists

    def declare(
        self,
        owner: values.InstanceName,
        declared: messages.Declare,
        now_s: float,
    ) -> None:
        """Take a job, or its new owner.

        Args:
            owner: Instance that declares it.
            declared: The job.
            now_s: Time.
        """
        known = self.state.jobs.get(declared.job)
        if known is not None:
            self.change_owner(known, owner)
            self.tell_again(known, declared)
            return
        if self.tell_ending(owner, declared):
            return
        job = declared_jobs.job_of(owner, declared, now_s)
        if self.refused_at_once(job, now_s):
            return
        if declared.unconfirmed:
            job.doubt_until_s = now_s + DOUBT_S
        self.state.jobs[job.job_id] = job
        for task, told in zip(job.tasks, declared.tasks, strict=True):
            self.state.tasks[task.name] = task
            if not told.done:
                self.place_declared(task, told, now_s)

    def tell_ending(
        self, owner: values.InstanceName, declared: messages.Declare
    ) -> bool:
        """Tell the owner of a job that has ended here; return whether it has.

        A job that was given up and comes from a client once more is a new one.
        """
        told: list[messages.ToOwner] = []
        match self.state.closed.find(declared.job):
            case closed_jobs.Complete():
                told = [
                    messages.Ended(
                        job=declared.job,
                        index=index,
                        kind=values.EndKind.DONE,
                    )
                    for index, task in enumerate(declared.tasks)
                    if not task.done
                ]
            case messages.GivenUp() as given_up if is_missed(declared):
                told = [given_up]
        for message in told:
            self.state.act(actions.NotifyOwner(owner=owner, message=message))
        return bool(told)

    def change_owner(self, job: work.Job, owner: values.InstanceName) -> None:
        """Let another instance answer for a job."""
        if job.owner == owner:
            return
        self.state.note(
            'owner_changed', job=job.job_id, before=job.owner, now=owner
        )
        self.state.tell(
            job,
            messages.GivenUp(
                job=job.job_id,
                reason=values.Verdict.TAKEN_OVER,
                begun=True,
            ),
        )
        job.owner = owner

    def tell_again(self, job: work.Job, declared: messages.Declare) -> None:
        """Tell the owner of a job what it has missed."""
        for task, told in zip(job.tasks, declared.tasks, strict=False):
            if task.done and not told.done:
                self.state.tell(
                    job,
                    messages.Ended(
                        job=job.job_id,
                        index=task.index,
                        kind=values.EndKind.DONE,
                    ),
                )
            elif task.worker is not None and task.worker != told.worker:
                start = (task.index, task.next_run - 1, task.worker)
                self.state.tell(
                    job, messages.Begun(job=job.job_id, starts=(start,))
                )

    def refused_at_once(self, job: work.Job, now_s: float) -> bool:
        """Refuse a job that would wait longer than it may."""
        pool = self.state.pool(job.pool)
        core_s = sum(
            task.estimate_s * task.need.cpu / values.CPU_MILLIS_PER_CORE
            for task in job.tasks
        )
        if job.begun:
            return False
        pool.rates.add(job.urgency, core_s, now_s)
        pool.reserve.job_came(job, now_s)
        if self.is_settling(pool, now_s):
            return False
        if not all(map(pool.room.could_run, job.tasks)):
            self.runs.give_up(
                job,
                values.Verdict.NO_WORKER_FITS,
                detail=f'{len(pool.room.workers)} workers listed',
            )
            return True
        ahead_core_s = pool.backlog.core_s_ahead(job.urgency)
        if not ahead_core_s:
            return False
        wait_s = self.expected_wait_s(job, now_s)
        if now_s + wait_s <= job.give_up_s:
            return False
        self.runs.give_up(
            job,
            values.Verdict.OVERLOADED,
            retry_after_ms=self.hint_ms(job, now_s),
            detail=declared_jobs.told_wait(
                wait_s, ahead_core_s, job.give_up_s - now_s
            ),
        )
        return True

    def is_settling(self, pool: ledger.PoolState, now_s: float) -> bool:
        """Return whether too little is known of the workers to refuse."""
        since_s = now_s - self.state.taken_over_s
        return since_s < SETTLING_S or not pool.room.cores(now_s)

    def hint_ms(self, job: work.Job, now_s: float) -> int:
        """Return when work like a job may find room, with jitter."""
        wait_s = self.expected_wait_s(job, now_s)
        # Clients that were refused together come back apart.
        return admission.retry_after_ms(
            wait_s * self.state.random.uniform(1, 2)
        )

    def expected_wait_s(self, job: work.Job, now_s: float) -> float:
        """Return how long a job would wait for room, in seconds."""
        pool = self.state.pool(job.pool)
        return admission.expected_wait_s(
            ahead_core_s=pool.backlog.core_s_ahead(job.urgency),
            cores=pool.room.cores(now_s),
            rate_before=pool.rates.before(job.urgency),
        )

    def place_declared(
        self, task: work.Task, told: messages.DeclaredTask, now_s: float
    ) -> None:
        """Follow the run that the owner was told of, or let the task wait."""
        early = self.state.early_ends.pop(task.name, None)
        if early is not None and early.number >= told.run:
            self.runs.settle(task, early.kind, now_s)
        elif not self.adopt_listed(task.name, now_s):
            self.follow_told(task, told, now_s)

    def adopt_listed(self, name: values.TaskName, now_s: float) -> bool:
        """Keep a run that a worker lists; return whether there is one."""
        for one in self.state.workers.values():
            number = one.unclaimed_runs.pop(name, None)
            if number is not None:
                listed = outcomes.ListedRun(task=name, number=number)
                self.lists.adopt(one, listed, now_s)
                return True
        return False

    def follow_told(
        self, task: work.Task, told: messages.DeclaredTask, now_s: float
    ) -> None:
        """Wait for the list of the worker that the owner was told of."""
        if told.worker is None:
            self.state.wait_again(task, now_s)
            return
        one = self.state.workers.get(told.worker)
        if one is None:
            self.state.unlisted_runs.append((now_s, task))
        elif one.readable:
            self.state.wait_again(task, now_s)
        else:
            self.expect(one, task, told, now_s)

    def expect(
        self,
        one: worker.Worker,
        task: work.Task,
        told: messages.DeclaredTask,
        now_s: float,
    ) -> None:
        """Book a run until the list of its worker is read."""
        one.lease.inherit(now_s)
        self.state.book(
            one,
            worker.Run(
                task=task,
                number=values.RunNumber(told.run),
                state=values.RunState.RUNNING,
                ordered_s=now_s,
                known_s=self.state.taken_over_s,
                moved_s=now_s,
            ),
        )

    def withdraw(
        self, owner: values.InstanceName, job_id: values.JobId
    ) -> None:
        """Let go of a job that its owner gives up."""
        job = self.state.jobs.get(job_id)
        if job is None or job.owner != owner:
            return
        self.runs.give_up(job, values.Verdict.WITHDRAWN)


def is_missed(declared: messages.Declare) -> bool:
    """Return whether an owner has missed how its job was given up.

    Jobs in doubt were let go of with the link, and are wanted again.
    """
    return declared.again and not declared.unconfirmed
