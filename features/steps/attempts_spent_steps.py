"""Steps for attempts that are spent on workers that succeed."""

import dataclasses
import random

import behave

from guavaroad.domain.pool import (
    attempt_policy,
    worker_health,
)
from steps import run_times_steps
from support import pool_replays

LOAD = 4
RETRY_RUN_S = 0.1
NOW_S = 100.0
BEFORE_S = 3
PERIOD_S = 1.5


@behave.given(
    '{workers:d} workers, {faulty:d} of which fail {part:d} of 100 runs for'
    ' 1.5 s in turn, and seed {seed:d}'
)
def given_faulty(context, **given):
    context.replay = pool_replays.Replay(
        workers=pool_replays.workers_of('a', 1, given['workers']),
        seed=given['seed'],
    )
    context.replay.failed_part = given['part'] / 100
    context.faulty = given['faulty']
    context.choice = random.Random(given['seed'])


@behave.given(
    '{workers:d} workers, and every tenth short job fails on any worker'
)
def given_hopeless(context, workers):
    given_faulty(context, workers=workers, faulty=0, part=0, seed=1)
    context.replay.hopeless_every = 10


@behave.when('jobs of two attempts run for {seconds:d} s')
def when_run(context, seconds):
    loads = run_times_steps.loads_of(LOAD)
    replay = context.replay
    replay.run(BEFORE_S, loads, pool_replays.ROUGH)
    for _ in range(int((seconds - 2 * BEFORE_S) / PERIOD_S)):
        names = list(replay.speeds)
        replay.faulty = set(context.choice.sample(names, context.faulty))
        replay.run(PERIOD_S, loads, pool_replays.ROUGH)
    replay.faulty = set()
    replay.run(BEFORE_S, loads, pool_replays.ROUGH)


@behave.then('at most {count:d} jobs fail')
def then_few_fail(context, count):
    assert len(context.replay.failed) <= count, len(context.replay.failed)


@behave.then('only those jobs fail')
def then_hopeless_fail(context):
    replay = context.replay
    assert replay.failed
    assert all(f'{job_id}.0' in replay.hopeless for job_id in replay.failed)


@behave.then('at least {count:d} workers are unsuspected')
def then_unsuspected_workers(context, count):
    now_s = context.replay.now_s
    unsuspected = [
        worker_state
        for worker_state in context.replay.machine.state.workers.values()
        if not worker_state.health.is_suspected(now_s)
    ]
    assert len(unsuspected) >= count, len(unsuspected)


@behave.given('a worker on a healthy pool')
def given_healthy(context):
    context.health = worker_health.WorkerHealth()
    context.faults = worker_health.FaultShare()
    context.now_s = NOW_S


@behave.given('a worker on a pool where {percent:d} of 100 runs fail')
def given_failing_pool(context, percent):
    given_healthy(context)
    for number in range(1000):
        context.faults.record(is_fault=number % 100 < percent)


@behave.when('a run on it fails')
def when_fails(context):
    context.health.record_failure(context.faults.evidence(), context.now_s)


@behave.then('it is suspected but not ejected')
def then_suspected(context):
    assert context.health.is_suspected(context.now_s)
    assert context.health.ejected_until_s <= context.now_s


@behave.then('it may have one more task only while it has none')
def then_one_task(context):
    assert context.health.allows(context.now_s, 0)
    assert not context.health.allows(context.now_s, 1)


@behave.then('it is ejected')
def then_ejected(context):
    assert not context.health.allows(context.now_s, 0)


@behave.when('{seconds:d} s passes and {runs:d} runs on it succeed')
def when_succeed(context, seconds, runs):
    context.now_s += seconds
    assert context.health.allows(context.now_s, 0)
    for _ in range(runs):
        context.health.record_success(1, context.now_s)
        context.health.end_probation(context.now_s)


@behave.then('it is unsuspected')
def then_unsuspected(context):
    assert not context.health.is_suspected(context.now_s)


@behave.given(
    'a task of two attempts that failed on "{name}" at {failed:g} s, with a'
    ' deadline at {deadline:g} s'
)
def given_failed(context, name, failed, deadline):
    run_times_steps.given_learned(context, 0)
    context.task.job.answer_by_s = deadline
    context.task.failures = 1
    context.task.failed_s = failed
    context.task.failed_on = (name,)


@behave.then(
    'at {now:g} s it may {use} worker "{name}" that has succeeded at'
    ' {success:g} s'
)
def then_may_use(context, now, use, name, success):
    worker_state = run_times_steps.worker_of('a', int(name[1:]))
    worker_state.health.succeeded_s = success
    required = attempt_policy.requirement(context.task, RETRY_RUN_S, now)
    assert attempt_policy.allows(required, context.task, worker_state, now) == (
        use == 'use'
    )


@behave.given('{count:d} failed tasks that wait for a worker with a success')
def given_waiting(context, count):
    context.replay = pool_replays.Replay(
        workers=pool_replays.workers_of('a', 1, 2 * count)
    )
    long, _ = run_times_steps.loads_of(1)
    context.load = dataclasses.replace(long, tasks=1)
    context.replay.faulty = set(context.replay.speeds)
    for _ in range(count):
        context.replay.declare(context.load, pool_replays.EXACT)
    while not all(
        task.failures for task in context.replay.machine.state.tasks.values()
    ):
        context.replay.step()
    context.replay.faulty = set()


@behave.when('another job arrives')
def when_another(context):
    context.replay.started_on.clear()
    context.replay.declare(context.load, pool_replays.EXACT)
    context.replay.step()


@behave.then('its tasks start at once')
def then_starts(context):
    assert len(context.replay.started_on) == 1, context.replay.started_on
