"""Steps for the run times of tasks on workers of uneven speed."""

import dataclasses

import behave

from guavaroad.domain.pool import (
    leases,
    owner_contacts,
    run_times,
    stragglers,
    values,
    work,
    worker,
)
from guavaroad_standins import pool_worker
from support import pool_replays

LONG_PER_S = 2.25
SHORT_PER_S = 12.4
FAST_CPU = 48_000
SETTLED_S = 5
ESTIMATE_S = 0.5
SPEEDS = (('slow', 0.7), ('fast', 1.7))


def loads_of(factor):
    long = pool_replays.Load(
        per_s=LONG_PER_S * factor, tasks=4, work_ms=760, urgency=1
    )
    short = pool_replays.Load(
        per_s=SHORT_PER_S * factor, tasks=8, work_ms=51, urgency=0
    )
    return long, short


@behave.given(
    '{slow:d} workers of speed {slow_speed:g} and {fast:d} of speed'
    ' {fast_speed:g} with a {load:g} fold load and seed {seed:d}'
)
def given_uneven(context, **given):
    context.loads = loads_of(given['load'])
    context.seed = given['seed']
    context.workers = pool_replays.workers_of(
        'a', given['slow_speed'], given['slow']
    )
    context.workers += pool_replays.workers_of(
        'b', given['fast_speed'], given['fast'], cpu=FAST_CPU
    )


def create_replay(context):
    return pool_replays.Replay(workers=context.workers, seed=context.seed)


def run_without(context, seconds, ratio):
    context.without = create_replay(context)
    context.without.use(pool_replays.NoRunTimes())
    context.without.run(seconds, context.loads, ratio)
    context.replay = create_replay(context)
    context.replay.run(seconds, context.loads, ratio)


@behave.when(
    'tasks run for {seconds:d} s without run times, with them, and with known'
    ' ones'
)
def when_compared(context, seconds):
    run_without(context, seconds, pool_replays.ROUGH)
    context.known = create_replay(context)
    context.known.use(pool_replays.KnownRunTimes(context.known))
    context.known.run(seconds, context.loads, pool_replays.ROUGH)


@behave.when(
    'tasks of exact estimates run for {seconds:d} s without run times and with'
    ' them'
)
def when_even(context, seconds):
    run_without(context, seconds, pool_replays.EXACT)


@behave.then(
    'at most {late:d} of 100 long jobs are late, and less than half of those'
    ' without'
)
def then_late(context, late):
    share = context.replay.late_share(context.loads[0])
    without = context.without.late_share(context.loads[0])
    assert share <= late / 100, (share, without)
    assert share < without / 2, (share, without)


@behave.then('after {after:d} s at most {late:d} of 100 long jobs are late')
def then_late_after(context, after, late):
    share = context.replay.late_share(context.loads[0], after)
    assert share <= late / 100, share


@behave.then('with known run times no more are late')
def then_known(context):
    share = context.replay.late_share(context.loads[0])
    known = context.known.late_share(context.loads[0])
    assert known <= share, (known, share)


@behave.then('no short job is late')
def then_short(context):
    assert context.replay.late_share(context.loads[1]) == 0


@behave.then('no task ran twice at once')
def then_once(context):
    assert context.replay.two_runs == 0


@behave.then('both have started the same tasks on the same workers')
def then_same(context):
    assert context.replay.started_on
    assert context.replay.started_on == context.without.started_on


def worker_of(label, number):
    worker_info = dataclasses.replace(
        pool_worker.worker_info_of(number, zone='a'),
        labels=(label, f'rack-{number // 2 % 2}'),
    )
    return worker.Worker(
        worker_info=worker_info,
        lease=leases.Lease(ends_s=0),
        contacts=owner_contacts.OwnerContacts(now_s=0),
    )


@behave.given(
    'run times learned from {runs:d} runs on workers of labels "slow" and'
    ' "fast"'
)
def given_learned(context, runs):
    context.times = run_times.RunTimes()
    job = work.Job(
        job_id=values.JobId('1'),
        owner=pool_replays.OWNER,
        pool='pool',
        urgency=1,
        max_attempts=2,
        payload='',
        estimate_s=ESTIMATE_S,
        arrived_s=0,
        objective_start_s=0,
        give_up_s=0,
        answer_by_s=0,
    )
    context.task = work.Task(
        job=job,
        index=0,
        name=values.TaskName('1.0'),
        need=values.Amount(cpu=1000),
        estimate_s=ESTIMATE_S,
    )
    for number in range(runs):
        for place, (label, speed) in enumerate(SPEEDS):
            context.times.record(
                context.task,
                worker_of(label, 2 * (number % 10) + place),
                ESTIMATE_S / speed,
                1,
            )


def expected_on(context, label):
    return context.times.expected_on_s(context.task, worker_of(label, 99), 1)


@behave.then(
    'a new worker of label "fast" is expected to run a task in less than half'
    ' of the time of one of "slow"'
)
def then_new_worker(context):
    assert expected_on(context, 'fast') < expected_on(context, 'slow') / 2


@behave.then('both are in different speed classes')
def then_classes(context):
    slow, fast = (
        context.times.class_of(worker_of(label, 99), 1) for label, _ in SPEEDS
    )
    assert slow < fast, (slow, fast)


@behave.when('a run on "{label}" takes {ratio:d} times as long')
def when_long(context, label, ratio):
    context.before_s = expected_on(context, label)
    elapsed_s = ratio * ESTIMATE_S / dict(SPEEDS)[label]
    context.times.record(context.task, worker_of(label, 0), elapsed_s, 1)


@behave.then(
    'the expected time on "{label}" has grown by at most {percent:d} of 100'
)
def then_grown(context, label, percent):
    now_s = expected_on(context, label)
    assert now_s <= context.before_s * (1 + percent / 100), now_s


@behave.given('an allocator that has adopted a run')
def given_adopted(context):
    context.replay = pool_replays.Replay(
        workers=pool_replays.workers_of('a', 1, 2)
    )
    long, _ = loads_of(1)
    context.replay.declare(
        dataclasses.replace(long, tasks=1), pool_replays.EXACT
    )
    context.replay.step()
    for worker_state in context.replay.machine.state.workers.values():
        for run in worker_state.runs.values():
            run.is_adopted = True


@behave.when('the adopted run ends')
def when_adopted_ends(context):
    context.replay.run(1, ())
    assert len(context.replay.done) == 1


@behave.then('no run time is learned')
def then_not_learned(context):
    assert not context.replay.pool.run_times.kinds


@behave.when(
    'a run on "{label}" is at {percent:d} of 100 after {elapsed:d} s and {state}'
)
def when_straggles(context, label, percent, elapsed, state):
    now_s = 1 + elapsed
    worker_state = worker_of(label, 99)
    context.task.job.answer_by_s = now_s + 60
    context.task.was_moved = 'moved before' in state
    if 'in time' in state:
        worker_state.health.end_probation(now_s)
    run = worker.Run(
        task=context.task,
        number=values.FIRST_RUN,
        state=values.RunState.RUNNING,
        ordered_s=1,
        reportable_s=1,
        percent=percent,
    )
    restart_s = stragglers.expected_restart_s(
        context.times, worker_state, run, now_s
    )
    context.is_moved = stragglers.is_worth_moving(run, restart_s, now_s)


@behave.then('it is moved')
def then_moved(context):
    assert context.is_moved


@behave.then('it is not moved')
def then_not_moved(context):
    assert not context.is_moved
