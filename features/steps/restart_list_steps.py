"""Steps for workers that restart under their id."""

import dataclasses

import behave

from guavaroad.domain.pool import outcomes
from guavaroad.ports import pool
from guavaroad_standins import pool_worker
from support import allocator_scenes

MOMENT_S = 0.02
INCARNATION_MS = 1000
SET_BACK_MS = 60_000
SMALL_CPU = 16_000


def number_of_worker(scene, job_id):
    return next(
        number
        for number, _ in enumerate(scene.infos)
        for run in scene.worker(number).runs.values()
        if run.task.job.job_id == job_id
    )


def restart(context, job_id):
    scene = context.scene
    context.restarted = number_of_worker(scene, job_id)
    worker_info = scene.infos[context.restarted]
    scene.infos[context.restarted] = dataclasses.replace(
        worker_info, started_ms=worker_info.started_ms + INCARNATION_MS
    )


@behave.given('every worker has reported its runs')
def given_reported(context):
    scene = context.scene
    scene.now_s += MOMENT_S
    scene.report_reached()


@behave.when(
    'the worker of job "{name}" has restarted by its report, which has the run'
)
def when_seen_in_report(context, name):
    restart(context, name)
    context.scene.report(allocator_scenes.worker_id_of(context.restarted))


@behave.when('the worker of job "{name}" has restarted by the platform\'s list')
def when_seen_in_list(context, name):
    restart(context, name)
    scene = context.scene
    scene.machine.update_workers(scene.infos, scene.now_s)


@behave.when(
    'every worker restarts after its clock was set back, while a poll waits'
)
def when_set_back(context):
    scene = context.scene
    second = scene.infos
    scene.infos = [
        dataclasses.replace(
            worker_info, started_ms=worker_info.started_ms + SET_BACK_MS
        )
        for worker_info in second
    ]
    scene.machine.update_workers(scene.infos, scene.now_s)
    scene.report_reached()
    context.first = scene.infos
    context.polled_s = scene.now_s
    scene.infos = second
    scene.now_s += MOMENT_S
    scene.report_reached()


@behave.when(
    'the poll that waits at the worker of job "{name}" is answered by its first process'
)
def when_answered_late(context, name):
    scene = context.scene
    worker_info = context.first[number_of_worker(scene, name)]
    scene.now_s += MOMENT_S
    scene.machine.reports.record_report(
        worker_id=worker_info.worker_id,
        report=outcomes.RunReport(
            clock_ms=int(scene.now_s * 1000),
            started_ms=worker_info.started_ms,
            running=(),
            ended=(),
        ),
        sent_s=context.polled_s,
        now_s=scene.now_s,
    )


@behave.when('that worker reports no run')
def when_reports_none(context):
    scene = context.scene
    runs = scene.worker(context.restarted).runs
    scene.unstarted.update(runs)
    scene.now_s += MOMENT_S
    scene.report(allocator_scenes.worker_id_of(context.restarted))
    scene.unstarted.clear()


@behave.then('job "{name}" was started once')
def then_once(context, name):
    check_starts(context, 1)


@behave.then('job "{name}" was started twice')
def then_twice(context, name):
    check_starts(context, 2)


@behave.given('job "{second}" runs beside job "{first}"')
def given_beside(context, second, first):
    scene = context.scene
    beside = number_of_worker(scene, second)
    assert beside == number_of_worker(scene, first), beside


@behave.then('jobs "{first}" and "{second}" run on different workers')
def then_apart(context, first, second):
    scene = context.scene
    scene.run(MOMENT_S)
    other = number_of_worker(scene, second)
    assert other != number_of_worker(scene, first), other


@behave.when(
    'a changed worker list reaches the allocator just after it has stopped'
)
def when_list_late(context):
    world = context.pool
    node = world.allocator().node
    reader = node.active_allocator.store_reader
    rows = node.active_allocator.executor.broadcaster.rows
    pool_worker.resize(next(iter(world.workers.values())), SMALL_CPU)
    world.list_workers()
    node.stop_allocating(retiring=True)
    reader.apply_worker_rows(pool.WorkerRows(rows=tuple(rows.items())))


def check_starts(context, count):
    scene = context.scene
    scene.answer_starts()
    assert len(scene.starts) == count, scene.starts
