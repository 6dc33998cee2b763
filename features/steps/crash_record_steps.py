"""Steps for the allocator's records of workers that were lost under a task."""

import dataclasses

import behave

from guavaroad.domain.pool import (
    actions,
    allocator,
    crash_records,
    messages,
    outcomes,
    values,
)
from guavaroad_standins import pool_worker

JOB = values.JobId('1')
TASK = values.TaskName('1.0.0.0')
TAKEN_OVER_S = 10
TICK_S = 0.02
SILENCE_S = 3
# Time within which a lease lapses.
LAPSE_S = 1.5
# Time until the task of a worker that was cut off runs on another one.
MOVED_S = 1.6


@behave.given(
    'an allocator with {workers:d} workers and a job of 1 task that has {seconds:g} s'
)
def given_allocator(context, workers, seconds):
    begin(context, workers, seconds, answers_starts=True)


@behave.given(
    'an allocator with {workers:d} workers that answer no start and a job of 1 task that has {seconds:g} s'
)
def given_allocator_without_answers(context, workers, seconds):
    begin(context, workers, seconds, answers_starts=False)


def begin(context, workers, seconds, *, answers_starts):
    context.answers_starts = answers_starts
    context.machine = allocator.Allocator(
        token=values.Token(2), now_s=TAKEN_OVER_S
    )
    # The record of losses is complete by then.
    context.now_s = TAKEN_OVER_S + crash_records.RETENTION_S
    context.machine.tick(context.now_s)
    listed = [
        pool_worker.worker_info_of(number, zone='a')
        for number in range(workers)
    ]
    context.machine.update_workers(listed, context.now_s)
    context.born_ms = {entry.worker_id: entry.started_ms for entry in listed}
    context.declared = messages.Declare(
        job=JOB,
        pool='pool',
        urgency=0,
        max_attempts=4,
        payload='',
        estimate_ms=20_000,
        age_ms=0,
        objective_ms=int(seconds * 1000),
        client_timeout_ms=int(seconds * 1000),
        tasks=(messages.DeclaredTask(name=TASK, cpu=1000),),
    )
    context.given_up = []
    context.worker = None
    declare(context, 'owner')
    advance(context, TICK_S)


def declare(context, owner):
    context.machine.job_admission.declare(
        values.InstanceName(owner), context.declared, context.now_s
    )


def advance(context, seconds, *, silent=()):
    """Advance the time; all workers report but the silent ones."""
    machine = context.machine
    end_s = context.now_s + seconds
    while context.now_s < end_s:
        context.now_s += TICK_S
        for worker_id in context.born_ms:
            if worker_id not in silent:
                report(context, worker_id)
        machine.tick(context.now_s)
        machine.place(context.now_s)
        for action in machine.pop_actions():
            take(context, action)


def report(context, worker_id):
    running = ()
    if worker_id == context.worker:
        running = (outcomes.ListedRun(task=TASK, number=context.run),)
    lease = context.machine.state.workers[worker_id].lease
    if lease.has_clock():
        lease.extend(context.now_s)
    context.machine.reports.record_report(
        worker_id=worker_id,
        report=outcomes.RunReport(
            clock_ms=int(context.now_s * 1000),
            started_ms=context.born_ms[worker_id],
            running=running,
            ended=(),
        ),
        sent_s=context.now_s,
        now_s=context.now_s,
    )


def take(context, action):
    match action:
        case actions.StartRun():
            context.worker = action.worker_id
            context.run = action.number
            answer_start(context)
        case actions.NotifyOwner(message=messages.GivenUp()):
            context.worker = None
            context.given_up.append(action.message)


def answer_start(context):
    outcome = outcomes.NoAnswer(detail='connection closed')
    if context.answers_starts:
        outcome = outcomes.Accepted(clock_ms=int(context.now_s * 1000))
    context.machine.runs.on_start_outcome(
        worker_id=context.worker,
        name=TASK,
        number=context.run,
        outcome=outcome,
        now_s=context.now_s,
    )


@behave.when(
    'the worker of the task is silent until its lease lapses, and answers again, {count:d} times'
)
def when_silent(context, count):
    for _ in range(count):
        lost = context.worker
        assert lost is not None
        advance(context, SILENCE_S, silent={lost})
        advance(context, SILENCE_S)


@behave.when(
    'the worker of the task is silent until its lease lapses, and restarts, {count:d} times'
)
def when_restarts(context, count):
    for _ in range(count):
        lost = context.worker
        advance(context, SILENCE_S, silent={lost})
        assert context.worker != lost
        context.born_ms[lost] += 1000
        advance(context, TICK_S)


@behave.when('the worker of the task restarts before a report, {count:d} times')
def when_restarts_early(context, count):
    for _ in range(count):
        lost = context.worker
        while context.worker == lost:
            advance(context, TICK_S, silent={lost})
        context.born_ms[lost] += 1000
        report(context, lost)


@behave.when('the worker of the task is silent for good, {count:d} times')
def when_silent_for_good(context, count):
    silent = set()
    for _ in range(count):
        silent.add(context.worker)
        advance(context, LAPSE_S, silent=silent)


@behave.when('another instance declares the job')
def when_declared_again(context):
    context.given_up = []
    declare(context, 'another')
    advance(context, TICK_S)


@behave.then('no worker is on record as lost')
def then_none_lost(context):
    records = context.machine.runs.crashes.records
    assert not records.recent, records.recent
    assert not records.older, records.older


@behave.then('the job is not given up')
def then_open(context):
    assert not context.given_up, context.given_up
    assert JOB in context.machine.state.jobs


@behave.then(
    'the job is given up as failed, for {count:d} workers that were lost'
)
def then_given_up(context, count):
    assert len(context.given_up) == 1, context.given_up
    given_up = context.given_up[0]
    assert given_up.reason is values.GiveUpReason.ATTEMPTS_USED, given_up
    assert given_up.detail.startswith(f'{count} workers'), given_up


@behave.then('the job is given up with an unknown outcome')
def then_unknown(context):
    assert len(context.given_up) == 1, context.given_up
    given_up = context.given_up[0]
    assert given_up.may_have_started, given_up
    assert given_up.reason is not values.GiveUpReason.ATTEMPTS_USED, given_up


@behave.when(
    'a job of 1 task of {work_s:g} s is submitted by a client that waits {seconds:g} s'
)
def when_submitted(context, work_s, seconds):
    pool = context.pool
    allocator_name = pool.allocator().name
    owner = next(name for name in pool.instances if name != allocator_name)
    request = dataclasses.replace(
        pool.request(tasks=1, work_ms=int(work_s * 1000)),
        client_timeout_ms=int(seconds * 1000),
    )
    pool.hand_in(owner, request)
    pool.run(TICK_S)
    context.last_job = request.job_id


@behave.when(
    'the worker of the last start is cut off, {count:d} times in a row'
)
def when_cut_off(context, count):
    pool = context.pool
    for _ in range(count):
        _, _, worker_id = pool.history.starts[-1]
        pool.cut_pairs.update((name, worker_id) for name in pool.instances)
        pool.run(MOVED_S)
        assert pool.history.starts[-1][-1] != worker_id


@behave.when('all workers can be reached again for {seconds:g} s')
def when_reached(context, seconds):
    context.pool.cut_pairs.clear()
    context.pool.run(seconds)


@behave.then('the last job is not answered yet')
def then_not_answered(context):
    pool = context.pool
    assert context.last_job not in pool.outcomes, pool.outcomes
