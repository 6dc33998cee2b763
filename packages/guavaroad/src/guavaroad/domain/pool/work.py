"""Jobs and tasks as tracked by the allocator."""

import dataclasses

from guavaroad.domain import names
from guavaroad.domain.pool import constraints, values


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
        job: Job that it belongs to.
        index: Index in the job.
        name: Name of the task on workers.
        need: Resources that it needs.
        next_run: Run number of its next start.
        worker: Worker of the last ordered run, while that may still run it.
        done: Whether a run has succeeded.
        failures: Number of failed runs.
        step: Step of the job that it belongs to.
        estimate_s: Estimated run time, in seconds.
        constraint: Placement constraint.
        start_pause_s: Pause before it is queued again if its next start is
            refused, in seconds.
        refused_by: Worker of its last start, if that was refused.
        losses: Number of workers that were lost while they ran it.
        failed_on: Workers on which it has failed, as far as this allocator
            knows.
        failed_s: Time of its last failure, in seconds.
        was_moved: Whether a straggling run of it was stopped to start again.
    """

    job: 'Job'
    index: int
    name: values.TaskName
    need: values.Amount
    next_run: values.RunNumber = values.FIRST_RUN
    worker: values.WorkerId | None = None
    done: bool = False
    failures: int = 0
    step: int = 0
    estimate_s: float = 0
    constraint: constraints.Constraint = constraints.ANYWHERE
    start_pause_s: float = 0
    refused_by: values.WorkerId | None = None
    losses: int = 0
    failed_on: tuple[values.WorkerId, ...] = ()
    failed_s: float = 0
    was_moved: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One job that an owner has declared.

    Times are on the allocator's clock, in seconds.

    Attributes:
        job_id: Id of the job.
        owner: Instance that answers the client.
        attempt: Attempt at the owner that waits for the outcome.
        pool: Pool whose workers may run it.
        urgency: Urgency; 0 is the most urgent.
        max_attempts: Number of failed runs of one task that fails the job.
        payload: Payload that is passed to every task.
        owner_has_payload: Whether the owner kept the payload to itself.
        estimate_s: Estimated run time of its longest chain of tasks.
        arrived_s: Time at which its owner received it.
        objective_start_s: Latest start that meets the latency objective.
        give_up_s: Time at which it is given up if no task has started.
        answer_by_s: Time of the client's timeout.
        may_have_started: Whether a start of a task may have reached a worker.
        may_have_run_before: Whether tasks of it may have run before this
            allocator tracked it.
        tasks: Its tasks, by index.
        waiting: Tasks that wait for a worker, by name, in their order.
        open_tasks: Number of tasks that are not done.
        after: For each step, the steps that must be done before it.
        open_in_step: Number of tasks that are not done, for each step.
        held: Tasks whose step may not begin yet.
        unconfirmed_until_s: Until this time a run that neither the owner nor
            the allocator tracks may be in progress.
        closed: Whether the allocator has removed it.
        queued_late: Whether it is queued among the late jobs.
        size: Size class within its kind.
    """

    job_id: values.JobId
    owner: values.InstanceName
    pool: names.PoolName
    urgency: int
    max_attempts: int
    payload: str
    estimate_s: float
    arrived_s: float
    objective_start_s: float
    give_up_s: float
    answer_by_s: float
    may_have_started: bool = False
    may_have_run_before: bool = False
    tasks: tuple[Task, ...] = ()
    waiting: dict[values.TaskName, Task] = dataclasses.field(
        default_factory=dict
    )
    open_tasks: int = 0
    after: tuple[tuple[int, ...], ...] = ((),)
    open_in_step: list[int] = dataclasses.field(default_factory=list)
    held: list[Task] = dataclasses.field(default_factory=list)
    unconfirmed_until_s: float = 0
    closed: bool = False
    queued_late: bool = False
    size: values.Size = values.Size.SMALL
    owner_has_payload: bool = False
    attempt: values.AttemptNumber = values.ANY_ATTEMPT

    def may_begin(self, step: int) -> bool:
        """Return whether all steps before this one are done."""
        return not any(self.open_in_step[before] for before in self.after[step])

    def task_done(self, task: Task) -> list[Task]:
        """Record that a task is done.

        Returns:
            Held tasks whose step may begin now.
        """
        task.done = True
        self.open_tasks -= 1
        self.open_in_step[task.step] -= 1
        if self.open_in_step[task.step]:
            return []
        released = [held for held in self.held if self.may_begin(held.step)]
        self.held = [held for held in self.held if held not in released]
        return released
