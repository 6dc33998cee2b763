"""What ended runs show about workers, tasks and run times.

Handles workers that fail all that they start, and tasks that fail on any
worker: a failure is counted against the one that it is most likely due to.
"""

from guavaroad.domain.pool import (
    allocator_state,
    attempt_policy,
    stragglers,
    values,
    work,
    worker,
)


class RunOutcomes:
    """Records ended runs with the health of workers and the run times.

    Attributes:
        state: State of the allocator.
    """

    def __init__(self, *, state: allocator_state.AllocatorState) -> None:
        self.state = state

    def record_done(
        self, worker_state: worker.Worker, run: worker.Run, now_s: float
    ) -> None:
        """Record a run that has succeeded."""
        pool = self.state.pool(worker_state.worker_info.pool)
        times = pool.run_times
        task = run.task
        elapsed_s = now_s - run.ordered_s
        ratio = elapsed_s / max(task.estimate_s, stragglers.MIN_EXPECTED_S)
        is_late = stragglers.is_straggler(times, worker_state, run, now_s)
        pool.task_faults.record(is_fault=False)
        if not run.is_overrun:
            pool.overruns.record(is_fault=False)
        worker_state.health.record_success(ratio, now_s)
        if not is_late:
            worker_state.health.end_probation(now_s)
        if not run.is_adopted:
            times.record(task, worker_state, elapsed_s, now_s)

    def record_failed(
        self, worker_state: worker.Worker, task: work.Task, now_s: float
    ) -> None:
        """Record a run that has failed, with the worker or the task."""
        pool = self.state.pool(worker_state.worker_info.pool)
        health = worker_state.health
        evidence = pool.task_faults.evidence()
        was_suspected = health.is_suspected(now_s)
        if attempt_policy.is_task_at_fault(task, worker_state):
            self.clear_others(task, evidence, now_s)
        elif health.record_failure(evidence, now_s):
            self.state.log_ejection(worker_state, 'runs failed', now_s)
        elif health.is_suspected(now_s) and not was_suspected:
            self.state.log_event(
                'worker_suspected',
                worker=worker_state.worker_info.worker_id,
                task=task.name,
                log_odds=round(health.log_odds, 1),
                task_faults=round(pool.task_faults.share, 3),
            )
        if not was_suspected:
            pool.task_faults.record(is_fault=True)
        task.failed_on = (
            *task.failed_on,
            worker_state.worker_info.worker_id,
        )
        task.failed_s = now_s

    def clear_others(
        self, task: work.Task, evidence: float, now_s: float
    ) -> None:
        """Take the failures of a task at fault back from other workers."""
        for worker_id in task.failed_on:
            worker_state: worker.Worker | None = self.state.workers.get(
                values.WorkerId(worker_id)
            )
            if worker_state is not None:
                worker_state.health.clear_failure(evidence, now_s)
                self.state.update_capacity(worker_state, now_s)
