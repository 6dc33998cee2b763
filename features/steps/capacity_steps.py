"""Steps for workers whose capacity changes."""

import behave

from guavaroad.domain.pool import outcomes, values
from guavaroad_standins import pool_worker
from support import allocator_scenes, pool_worlds

CPU_PER_CORE = 1000
# Longer than a stop takes.
STOPPED_S = 0.1
MOMENT_S = 0.02
# Capacities for no task, one and two of the tasks in the pool.
WORKER_CPU = (8000, 16_000, 32_000)
RESIZE_PERIOD_S = 4


@behave.given('an allocator with {workers:d} workers of {cores:d} cores')
def given_workers(context, workers, cores):
    context.scene = allocator_scenes.AllocatorScene(
        workers=workers, cpu=cores * CPU_PER_CORE
    )


@behave.given('jobs "{names}" of 1 task of {cores:d} cores that run')
def given_running(context, names, cores):
    for name in names.split():
        context.scene.declare(name, 1, cores * CPU_PER_CORE)
        context.scene.run(MOMENT_S)
        assert runs_of(context, name), name


@behave.given(
    'a job "{name}" of 1 task of {cores:d} cores whose start is not answered'
)
def given_unanswered(context, name, cores):
    scene = context.scene
    scene.outcome = outcomes.NoAnswer(detail='no answer in time')
    scene.declare(name, 1, cores * CPU_PER_CORE)
    scene.run(MOMENT_S)
    scene.outcome = None
    assert runs_of(context, name), name


@behave.when('worker {number:d} shrinks to {cores:d} cores')
def when_shrinks(context, number, cores):
    context.scene.resize(number, cores * CPU_PER_CORE)


@behave.when('worker {number:d} grows to {cores:d} cores')
def when_grows(context, number, cores):
    context.scene.resize(number, cores * CPU_PER_CORE)


@behave.when('a job "{name}" of 1 task of {cores:d} cores waits')
def when_waits(context, name, cores):
    context.scene.declare(name, 1, cores * CPU_PER_CORE)


@behave.when('job "{name}" is withdrawn')
def when_withdrawn(context, name):
    context.scene.withdraw(name)


@behave.when('the stop of job "{name}" is accepted')
def when_stop_accepted(context, name):
    scene = context.scene
    worker_state, run = runs_of(context, name)[0]
    scene.machine.runs.on_stop_outcome(
        worker_id=worker_state.worker_info.worker_id,
        name=run.task.name,
        number=run.number,
        outcome=outcomes.Accepted(),
        now_s=scene.now_s,
    )


@behave.when('the run of job "{name}" is over')
def when_over(context, name):
    scene = context.scene
    worker_state, run = runs_of(context, name)[0]
    end = outcomes.ListedEnd(
        position=worker_state.last_end_position + 1,
        task=run.task.name,
        number=run.number,
        kind=values.EndKind.DONE,
    )
    scene.report(worker_state.worker_info.worker_id, ended=(end,))


@behave.when('the worker reports after the stop')
def when_reports(context):
    scene = context.scene
    scene.now_s += STOPPED_S
    scene.run(MOMENT_S)


@behave.then('job "{name}" is not started')
def then_not_started(context, name):
    context.scene.run(MOMENT_S)
    assert not runs_of(context, name), name


@behave.then('job "{name}" runs')
def then_runs(context, name):
    context.scene.run(MOMENT_S)
    assert runs_of(context, name), name


def runs_of(context, job_id):
    return [
        (worker_state, run)
        for worker_state in context.scene.machine.state.workers.values()
        for run in worker_state.runs.values()
        if run.task.job.job_id == job_id
    ]


@behave.when(
    '{per_s:d} jobs per second of 2 tasks of {ms:d} ms are submitted for {seconds:d} s while workers shrink and grow'
)
def when_resized(context, per_s, ms, seconds):
    pool = context.pool
    workers = list(pool.workers.values())
    context.full = set()
    for _ in range(int(seconds / RESIZE_PERIOD_S)):
        for resized in pool.random.sample(workers, len(workers) // 2):
            pool_worker.resize(resized, pool.random.choice(WORKER_CPU))
        pool.list_workers()
        pool.load(RESIZE_PERIOD_S, per_s, tasks=2, work_ms=ms)
        context.full.update(filter(is_full, workers))


def is_full(worker):
    capacity = worker.worker_info.capacity
    return worker.running and capacity.cpu < 2 * pool_worlds.TASK_CPU


@behave.then('the workers that had shrunk were full')
def then_full(context):
    assert len(context.full) > 1, context.full
