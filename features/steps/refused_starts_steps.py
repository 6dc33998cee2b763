"""Steps for starts that are refused."""

import collections

import behave

from guavaroad.domain.pool import outcomes, values
from guavaroad_standins import pool_worker
from support import allocator_scenes

JOB = values.JobId('1')
# Does not fit a worker that runs a small task.
LARGE_CPU = 32_000


@behave.given(
    'an allocator with {workers:d} free workers and a job of {tasks:d} task'
)
def given_allocator(context, workers, tasks):
    context.scene = allocator_scenes.AllocatorScene(workers=workers, cpu=32_000)
    context.scene.declare(JOB, tasks, 1000)


@behave.when("worker {number:d} can't be reached for {seconds:g} s")
def when_unreached(context, number, seconds):
    refusal = outcomes.Refusal.UNREACHED
    context.scene.refusals[allocator_scenes.worker_id_of(number)] = refusal
    context.scene.run(seconds)


@behave.when(
    'a job arrives every {interval:g} s for {seconds:g} s that only fits worker 0'
)
def when_jobs_arrive(context, interval, seconds):
    scene = context.scene
    for number in range(int(seconds / interval + 0.5)):
        scene.declare(values.JobId(f'more-{number}'), 1, LARGE_CPU)
        scene.run(interval)


@behave.when('worker {number:d} can be reached for {seconds:g} s')
def when_reached(context, number, seconds):
    context.scene.refusals.pop(allocator_scenes.worker_id_of(number))
    context.scene.run(seconds)


@behave.when('worker {number:d} refuses starts as "{reason}" for {seconds:g} s')
def when_refused(context, number, reason, seconds):
    refusal = outcomes.Refusal(reason)
    context.scene.refusals[allocator_scenes.worker_id_of(number)] = refusal
    context.scene.run(seconds)


@behave.when('all workers refuse starts as "{reason}" for {seconds:g} s')
def when_all_refused(context, reason, seconds):
    refusal = outcomes.Refusal(reason)
    for worker_info in context.scene.infos:
        context.scene.refusals[worker_info.worker_id] = refusal
    context.scene.run(seconds)


@behave.when('worker {number:d} accepts starts for {seconds:g} s')
def when_accepted(context, number, seconds):
    when_reached(context, number, seconds)


@behave.when('all workers accept starts for {seconds:g} s')
def when_all_accepted(context, seconds):
    context.scene.refusals.clear()
    context.scene.run(seconds)


@behave.when('worker {number:d} refuses 1 start as "{reason}"')
def when_refused_once(context, number, reason):
    scene = context.scene
    worker_id = allocator_scenes.worker_id_of(number)
    scene.refusals[worker_id] = outcomes.Refusal(reason)
    scene.machine.place(scene.now_s)
    start = next(iter(scene.pop_starts()))
    scene.answer(start)
    scene.refusals.pop(worker_id)
    scene.answer_starts()


@behave.when(
    'the run of the task fails, and worker {number:d} refuses 1 start as "{reason}"'
)
def when_fails(context, number, reason):
    run = next(iter(context.scene.worker(number).runs.values()))
    end = outcomes.ListedEnd(
        position=1,
        task=run.task.name,
        number=run.number,
        kind=values.EndKind.FAILED,
    )
    context.scene.report(allocator_scenes.worker_id_of(number), ended=(end,))
    when_refused_once(context, number, reason)


@behave.when('the job is withdrawn')
def when_withdrawn(context):
    context.scene.withdraw(JOB)


@behave.when('a run of the task is found on worker {number:d}')
def when_found(context, number):
    scene = context.scene
    task = next(iter(scene.machine.state.tasks.values()))
    listed = outcomes.ListedRun(task=task.name, number=values.RunNumber(99))
    scene.report(allocator_scenes.worker_id_of(number), extra=(listed,))


@behave.then('no task runs on worker {number:d}')
def then_none_runs(context, number):
    runs = context.scene.worker(number).runs
    assert not runs, runs


@behave.then('at most {most:d} starts were sent to worker {number:d}')
def then_starts(context, most, number):
    sent = context.scene.starts.count(allocator_scenes.worker_id_of(number))
    assert 0 < sent <= most, sent


@behave.then('the task runs on worker {number:d}')
def then_runs(context, number):
    runs = context.scene.worker(number).runs
    assert len(runs) == 1, runs
    states = [run.state for run in runs.values()]
    assert states == [values.RunState.RUNNING], states


@behave.when(
    'all workers crash and refuse connections for {seconds:g} s under {per_s:d} jobs per second'
)
def when_all_crash(context, seconds, per_s):
    pool = context.pool
    load = {'tasks': 2, 'work_ms': 300}
    pool.load(1, per_s, **load)
    for worker in pool.workers.values():
        worker.crash()
        worker.faults.refuses = True
    pool.load(seconds, per_s, **load)
    for worker in pool.workers.values():
        pool_worker.restart(worker)
        worker.faults.refuses = False
    pool.list_workers()
    pool.load(1, per_s, **load)


@behave.then('no task was ordered to start more than {most:d} times')
def then_ordered(context, most):
    ordered = collections.Counter()
    for instance in context.pool.instances.values():
        ordered.update(instance.workers.task_starts)
    most_ordered = ordered.most_common(3)
    assert most_ordered[0][1] <= most, most_ordered
