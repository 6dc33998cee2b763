"""Admission, change of owner and withdrawal of jobs."""

from guavaroad.domain.pool import (
    allocator_state,
    declared_jobs,
    earlier_declarations,
    load_shedding,
    messages,
    outcomes,
    owner_changes,
    owner_contacts,
    run_tracker,
    values,
    work,
    worker,
    worker_reports,
)


class JobAdmission:
    """Admits jobs that owners declare and closes jobs that they withdraw.

    Attributes:
        state: State of the allocator.
        runs: Tracks runs.
        reports: Processes the run reports of workers.
        earlier: What is on record of a job from earlier declarations.
        owner_changes: Follows jobs whose owner changes or has missed messages.
        shedder: Refuses jobs when there is more work than room.
    """

    def __init__(
        self,
        *,
        state: allocator_state.AllocatorState,
        runs: run_tracker.RunTracker,
        reports: worker_reports.WorkerReports,
    ) -> None:
        self.state = state
        self.runs = runs
        self.reports = reports
        self.earlier = earlier_declarations.EarlierDeclarations(state=state)
        self.owner_changes = owner_changes.OwnerChanges(state=state)
        self.shedder = load_shedding.LoadShedder(state=state, runs=runs)

    def declare(
        self,
        owner: values.InstanceName,
        declared: messages.Declare,
        now_s: float,
    ) -> None:
        """Admit a new job, or apply a new declaration of a tracked job.

        Args:
            owner: Instance that declares the job.
            declared: Declaration of the job.
            now_s: Current time, in seconds.
        """
        tracked = self.state.jobs.get(declared.job)
        self.earlier.log_declared_again(owner, declared)
        if tracked is not None:
            self.declare_tracked(tracked, owner, declared, now_s)
            return
        if self.earlier.resend_ending(owner, declared):
            return
        job = declared_jobs.build_job(owner, declared, now_s)
        job.may_have_run_before = self.earlier.may_have_run(
            owner, declared, now_s
        )
        if self.refuse_if_crashing(job, declared):
            return
        if self.shedder.refuse_if_overloaded(job, now_s):
            return
        if declared.may_hide_starts():
            job.unconfirmed_until_s = owner_contacts.hidden_until_s(
                declared.contact_age_ms, now_s
            )
        self.state.jobs[job.job_id] = job
        for task, declared_task in zip(job.tasks, declared.tasks, strict=True):
            self.state.tasks[task.name] = task
            if not declared_task.done:
                self.resume_task(task, declared_task, now_s)

    def declare_tracked(
        self,
        job: work.Job,
        owner: values.InstanceName,
        declared: messages.Declare,
        now_s: float,
    ) -> None:
        """Apply a new declaration of a tracked job."""
        if job.owner != owner:
            self.owner_changes.change_owner(job, owner)
            self.add_known_starts(job, declared, now_s)
        job.attempt = declared.attempt
        job.payload = declared.payload
        job.owner_has_payload = declared.owner_has_payload
        job.may_have_run_before |= earlier_declarations.shows_start(declared)
        self.owner_changes.resend_missed(job, declared)

    def add_known_starts(
        self, job: work.Job, declared: messages.Declare, now_s: float
    ) -> None:
        """Apply the starts by another allocator that the new owner knows of.

        Args:
            job: Job that was tracked for another owner.
            declared: Declaration of the new owner.
            now_s: Current time, in seconds.
        """
        may_hide_starts = declared.may_hide_starts()
        if may_hide_starts:
            job.unconfirmed_until_s = owner_contacts.hidden_until_s(
                declared.contact_age_ms, now_s
            )
        for task, declared_task in zip(job.tasks, declared.tasks, strict=False):
            if declared_task.run < task.next_run and not may_hide_starts:
                continue
            job.may_have_run_before = True
            after = values.RunNumber(declared_task.run + 1)
            task.next_run = max(task.next_run, after)
            if task.name in job.waiting:
                self.state.pool(job.pool).backlog.remove_task(task)
                self.resume_declared(task, declared_task, now_s)

    def refuse_if_crashing(
        self, job: work.Job, declared: messages.Declare
    ) -> bool:
        """Give up a job with a task under which too many workers were lost.

        Returns:
            Whether the job was given up.
        """
        for task, declared_task in zip(job.tasks, declared.tasks, strict=True):
            self.runs.crashes.inherit(task.name, declared_task.losses)
            if self.runs.crashes.is_over_limit(task.name) and not task.done:
                self.runs.give_up_crashing(task)
                return True
        return False

    def resume_task(
        self, task: work.Task, declared: messages.DeclaredTask, now_s: float
    ) -> None:
        """Continue a task from its last start, or queue it.

        An end or a run that a worker has reported takes precedence over the
        start that the owner was notified of.
        """
        early = self.state.early_ends.pop(task.name, None)
        if early is not None and early.number >= declared.run:
            self.runs.record_end(task, early.kind, now_s)
        elif not self.adopt_reported(task.name, now_s):
            self.resume_declared(task, declared, now_s)

    def adopt_reported(self, name: values.TaskName, now_s: float) -> bool:
        """Adopt an unclaimed run of a task; return whether there is one."""
        worker_state = self.state.runs.pop_holder(name)
        if worker_state is None:
            return False
        number = worker_state.unclaimed_runs.pop(name)
        listed = outcomes.ListedRun(task=name, number=number)
        self.reports.adopt_run(worker_state, listed, now_s)
        return True

    def resume_declared(
        self, task: work.Task, declared: messages.DeclaredTask, now_s: float
    ) -> None:
        """Await a report on the declared start of a task, or queue the task."""
        if declared.worker is None:
            self.state.queue_task(task, now_s)
            return
        worker_state = self.state.workers.get(declared.worker)
        if worker_state is None:
            self.state.unlisted_tasks.append((now_s, task))
        elif worker_state.is_synced:
            self.state.queue_task(task, now_s)
        else:
            self.expect_run(worker_state, task, declared, now_s)

    def expect_run(
        self,
        worker_state: worker.Worker,
        task: work.Task,
        declared: messages.DeclaredTask,
        now_s: float,
    ) -> None:
        """Reserve capacity for a run until its worker sends a run report."""
        worker_state.lease.inherit(now_s)
        self.state.add_run(
            worker_state,
            worker.Run(
                task=task,
                number=values.RunNumber(declared.run),
                state=values.RunState.RUNNING,
                ordered_s=now_s,
                reportable_s=self.state.taken_over_s,
                progressed_s=now_s,
            ),
        )

    def withdraw(
        self, owner: values.InstanceName, withdrawn: messages.Withdraw
    ) -> None:
        """Give up a job that its owner withdraws.

        Args:
            owner: Instance that withdraws the job.
            withdrawn: The attempt that it withdraws.
        """
        job = self.state.jobs.get(withdrawn.job)
        if job is None:
            self.earlier.record_withdrawn(withdrawn.job)
            return
        if job.owner != owner:
            job.may_have_run_before = True
            return
        if withdrawn.attempt not in {values.ANY_ATTEMPT, job.attempt}:
            self.state.log_event(
                'stale_attempt',
                job=job.job_id,
                kind='Withdraw',
                attempt=withdrawn.attempt,
                now=job.attempt,
            )
            return
        self.runs.give_up(job, values.GiveUpReason.WITHDRAWN)
