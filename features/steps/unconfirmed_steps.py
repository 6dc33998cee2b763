"""Steps for the decisions on jobs that may have runs unknown to their owner."""

import behave

from guavaroad.domain.pool import (
    actions,
    allocator,
    messages,
    outcomes,
    values,
)
from guavaroad_standins import pool_worker

JOB = values.JobId('1')
TASK = values.TaskName('1.0.0.0')
TAKEN_OVER_S = 10
# Less than the period of the allocator's ticks.
REPORT_INTERVAL_S = 0.005


@behave.given(
    'an allocator with {workers:d} workers and an unconfirmed job of 1 task'
)
def given_unconfirmed(context, workers):
    declare(context, workers, messages.DeclaredTask(name=TASK, cpu=1000))


@behave.given(
    'an allocator with {workers:d} workers and an unconfirmed job with a known run on worker {number:d}'
)
def given_known_run(context, workers, number):
    given_known_number(context, workers, values.FIRST_RUN, number)


@behave.given(
    'an allocator with {workers:d} workers and an unconfirmed job with known run {run:d} on worker {number:d}'
)
def given_known_number(context, workers, run, number):
    task = messages.DeclaredTask(
        name=TASK, cpu=1000, run=run, worker=values.WorkerId(f'w{number}')
    )
    declare(context, workers, task)


def declare(context, workers, task):
    context.now_s = TAKEN_OVER_S
    context.machine = allocator.Allocator(
        token=values.Token(2), now_s=context.now_s
    )
    context.machine.update_workers(
        [
            pool_worker.worker_info_of(number, zone='a')
            for number in range(workers)
        ],
        context.now_s,
    )
    declare_job(context, task)


def declare_job(context, task):
    context.machine.job_admission.declare(
        values.InstanceName('owner'),
        messages.Declare(
            job=JOB,
            pool='pool',
            urgency=0,
            max_attempts=4,
            payload='',
            estimate_ms=900,
            age_ms=0,
            objective_ms=600,
            client_timeout_ms=6000,
            tasks=(task,),
            unconfirmed=True,
            redeclared=True,
        ),
        context.now_s,
    )


def report(context, number, *, running=(), ended=()):
    context.now_s += REPORT_INTERVAL_S
    context.machine.reports.record_report(
        worker_id=values.WorkerId(f'w{number}'),
        report=outcomes.RunReport(
            clock_ms=int(context.now_s * 1000),
            started_ms=number + 1,
            running=running,
            ended=ended,
        ),
        sent_s=context.now_s,
        now_s=context.now_s,
    )


@behave.when('worker {number:d} reports a run of the task')
def when_reports_run(context, number):
    run = outcomes.ListedRun(task=TASK, number=values.FIRST_RUN)
    report(context, number, running=(run,))


@behave.when('worker {number:d} reports run {run:d} of the task')
def when_reports_later_run(context, number, run):
    listed = outcomes.ListedRun(task=TASK, number=values.RunNumber(run))
    report(context, number, running=(listed,))


@behave.when('worker {number:d} reports that the run was stopped')
def when_reports_end(context, number):
    end = outcomes.ListedEnd(
        position=1,
        task=TASK,
        number=values.FIRST_RUN,
        kind=values.EndKind.STOPPED,
    )
    report(context, number, ended=(end,))


@behave.when('worker {number:d} reports no run')
def when_reports_none(context, number):
    report(context, number)


@behave.when('the owner declares the job again without a run')
def when_declared_again(context):
    context.machine.pop_actions()
    declare_job(context, messages.DeclaredTask(name=TASK, cpu=1000))


@behave.when('worker {number:d} is silent for {seconds:g} s')
def when_silent(context, number, seconds):
    context.now_s += seconds


@behave.then('the task is started once')
def then_started_once(context):
    starts = starts_in(decisions(context.machine, context.now_s))
    assert len(starts) == 1, starts


@behave.then('the task is not started')
def then_not_started(context):
    context.decisions = decisions(context.machine, context.now_s)
    starts = starts_in(context.decisions)
    assert not starts, starts


@behave.then('run {run:d} of the task is started')
def then_run_started(context, run):
    starts = starts_in(decisions(context.machine, context.now_s))
    assert [start.number for start in starts] == [run], starts


@behave.then('the owner knows run {run:d} on worker {number:d}')
def then_owner_told(context, run, number):
    begun = [
        action.message.starts
        for action in context.decisions
        if isinstance(action, actions.NotifyOwner)
        and isinstance(action.message, messages.Begun)
    ]
    assert begun == [((0, run, f'w{number}'),)], begun


def decisions(machine, now_s):
    for _ in range(allocator.CHECK_PARTS):
        machine.tick(now_s)
    machine.place(now_s)
    return machine.pop_actions()


def starts_in(decided):
    return [
        action for action in decided if isinstance(action, actions.StartRun)
    ]
