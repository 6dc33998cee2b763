"""Steps for attempts that are spent on workers that succeed."""

import random

import behave

from guavaroad.domain.pool import (
    attempt_policy,
    values,
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


@behave.given('a task of two attempts that has just failed on a worker')
def given_failed(context):
    run_times_steps.given_learned(context, 0)
    task = context.task
    task.job.answer_by_s = NOW_S + 5
    task.failures = 1
    task.failed_s = NOW_S
    task.failed_on = (values.WorkerId('w0'),)


def may_use(context, number, *, succeeded_s, now_s=NOW_S):
    worker_state = run_times_steps.worker_of('a', number)
    worker_state.health.succeeded_s = succeeded_s
    required = attempt_policy.requirement(context.task, RETRY_RUN_S, now_s)
    return attempt_policy.allows(required, context.task, worker_state, now_s)


@behave.then('it may not use that worker')
def then_not_same(context):
    assert not may_use(context, 0, succeeded_s=NOW_S + 0.1)


@behave.then('it may not use a worker whose last success is older')
def then_not_older(context):
    assert not may_use(context, 1, succeeded_s=NOW_S - 0.1)


@behave.then('it may use a worker that has succeeded since')
def then_newer(context):
    assert may_use(context, 1, succeeded_s=NOW_S + 0.1, now_s=NOW_S + 0.1)


@behave.then('it may use any worker after {seconds:g} s')
def then_any(context, seconds):
    assert may_use(context, 1, succeeded_s=0, now_s=NOW_S + seconds)


@behave.then('it may use any worker at once if its deadline is near')
def then_any_near(context):
    context.task.job.answer_by_s = NOW_S + RETRY_RUN_S
    assert may_use(context, 1, succeeded_s=0)
