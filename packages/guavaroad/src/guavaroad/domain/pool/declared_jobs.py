"""Jobs made of what their owners declare."""

from typing import Final

from guavaroad.domain import names, units
from guavaroad.domain.pool import admission, messages, values, work

# A longer wait is told as this one, in seconds.
LONGEST_TOLD_S: Final = 99


def job_of(
    owner: values.InstanceName, declared: messages.Declare, now_s: float
) -> work.Job:
    """Return the job that an owner declares.

    Args:
        owner: Its owner.
        declared: What the owner says.
        now_s: Time.
    """
    arrived_s = now_s - declared.age_ms / units.MS_PER_S
    patience_s = declared.client_timeout_ms / units.MS_PER_S
    estimate_s = declared.estimate_ms / units.MS_PER_S
    job = work.Job(
        job_id=declared.job,
        owner=owner,
        pool=names.PoolName(declared.pool),
        urgency=declared.urgency,
        max_attempts=declared.max_attempts,
        payload=declared.payload,
        estimate_s=estimate_s,
        arrived_s=arrived_s,
        aim_s=arrived_s + declared.objective_ms / units.MS_PER_S,
        give_up_s=admission.latest_start_s(
            arrived_s=arrived_s,
            patience_s=patience_s,
            estimate_s=estimate_s,
            aim_s=declared.objective_ms / units.MS_PER_S,
        ),
        answer_by_s=arrived_s + patience_s,
        begun=any(told.run for told in declared.tasks),
    )
    job.tasks = tuple(
        task_of(job, index, told) for index, told in enumerate(declared.tasks)
    )
    job.after = declared.after
    open_steps = [task.step for task in job.tasks if not task.done]
    job.open_tasks = len(open_steps)
    job.open_in_step = [
        open_steps.count(step) for step in range(len(declared.after))
    ]
    return job


def task_of(
    job: work.Job, index: int, told: messages.DeclaredTask
) -> work.Task:
    """Return one task of a declared job."""
    declared_ms = job.estimate_s * units.MS_PER_S
    return work.Task(
        job=job,
        index=index,
        name=told.name,
        need=values.Amount(
            cpu=told.cpu, memory_mb=told.memory_mb, gpu=told.gpu
        ),
        next_run=values.RunNumber(told.run + 1),
        done=told.done,
        failures=told.failures,
        step=told.step,
        estimate_s=(told.estimate_ms or declared_ms) / units.MS_PER_S,
        constraint=told.constraint,
    )


def told_wait(wait_s: float, ahead_core_s: float, useful_s: float) -> str:
    """Return why a job is refused at once, for the log."""
    told_s = min(wait_s, LONGEST_TOLD_S)
    return (
        f'expected wait {told_s:.2f} s behind {ahead_core_s:.0f} '
        f'core-seconds, useful within {useful_s:.2f} s'
    )
