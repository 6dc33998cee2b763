"""Builds the allocator's jobs from the declarations of their owners."""

from typing import Final

from guavaroad.domain import names, units
from guavaroad.domain.pool import admission, messages, values, work

# A longer expected wait is reported as this value, in seconds.
MAX_REPORTED_WAIT_S: Final = 99


def build_job(
    owner: values.InstanceName, declared: messages.Declare, now_s: float
) -> work.Job:
    """Return the job that an owner declares.

    Args:
        owner: Owner of the job.
        declared: Declaration of the job.
        now_s: Current time, in seconds.
    """
    arrived_s = now_s - declared.age_ms / units.MS_PER_S
    client_timeout_s = declared.client_timeout_ms / units.MS_PER_S
    estimate_s = declared.estimate_ms / units.MS_PER_S
    job = work.Job(
        job_id=declared.job,
        owner=owner,
        attempt=declared.attempt,
        pool=names.PoolName(declared.pool),
        urgency=declared.urgency,
        max_attempts=declared.max_attempts,
        payload=declared.payload,
        owner_has_payload=declared.owner_has_payload,
        estimate_s=estimate_s,
        arrived_s=arrived_s,
        objective_start_s=arrived_s + declared.objective_ms / units.MS_PER_S,
        give_up_s=admission.latest_start_s(
            arrived_s=arrived_s,
            client_timeout_s=client_timeout_s,
            estimate_s=estimate_s,
            objective_s=declared.objective_ms / units.MS_PER_S,
        ),
        answer_by_s=arrived_s + client_timeout_s,
        may_have_started=any(
            declared_task.has_started() for declared_task in declared.tasks
        ),
    )
    job.tasks = tuple(
        build_task(job, index, declared_task)
        for index, declared_task in enumerate(declared.tasks)
    )
    job.after = declared.after
    open_steps = [task.step for task in job.tasks if not task.done]
    job.open_tasks = len(open_steps)
    job.open_in_step = [
        open_steps.count(step) for step in range(len(declared.after))
    ]
    return job


def build_task(
    job: work.Job, index: int, declared: messages.DeclaredTask
) -> work.Task:
    """Return a task of a declared job."""
    job_estimate_ms = job.estimate_s * units.MS_PER_S
    return work.Task(
        job=job,
        index=index,
        name=declared.name,
        need=values.Amount(
            cpu=declared.cpu, memory_mb=declared.memory_mb, gpu=declared.gpu
        ),
        next_run=values.RunNumber(declared.run + 1),
        done=declared.done,
        failures=declared.failures,
        step=declared.step,
        estimate_s=(declared.estimate_ms or job_estimate_ms) / units.MS_PER_S,
        constraint=declared.constraint,
    )


def describe_wait(wait_s: float, ahead_core_s: float, useful_s: float) -> str:
    """Return why a job is refused at once, for the decision log."""
    reported_s = min(wait_s, MAX_REPORTED_WAIT_S)
    return (
        f'expected wait {reported_s:.2f} s behind {ahead_core_s:.0f} '
        f'core-seconds, useful within {useful_s:.2f} s'
    )
