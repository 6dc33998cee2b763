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
    task = messages.DeclaredTask(
        name=TASK, cpu=1000, run=1, worker=values.WorkerId(f'w{number}')
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


@behave.then('the task is started once')
def then_started_once(context):
    starts = starts_of(context.machine, context.now_s)
    assert len(starts) == 1, starts


@behave.then('the task is not started')
def then_not_started(context):
    starts = starts_of(context.machine, context.now_s)
    assert not starts, starts


def starts_of(machine, now_s):
    machine.tick(now_s)
    machine.place(now_s)
    return [
        action
        for action in machine.pop_actions()
        if isinstance(action, actions.StartRun)
    ]
