"""Steps for the decisions on jobs that may have runs unknown to their owner."""

import collections
import dataclasses

import behave

from guavaroad.domain.pool import (
    actions,
    allocator,
    closed_jobs,
    messages,
    outcomes,
    values,
)
from guavaroad_standins import pool_worker

JOB = values.JobId('1')
TASK = values.TaskName('1.0.0.0')
OWNER = values.InstanceName('owner')
OTHER = values.InstanceName('other')
TAKEN_OVER_S = 10
# Less than the period of the allocator's ticks.
REPORT_INTERVAL_S = 0.005
SET_BACK_MS = 5000
# Time from the last contact of an owner until it counts an allocator as lost
# that is silent, and follows the next one.
SILENCE_S = 0.6


@behave.given(
    'an allocator with {workers:d} workers and an unconfirmed job of 1 task'
)
def given_unconfirmed(context, workers):
    declare(context, workers, messages.DeclaredTask(name=TASK, cpu=1000))


@behave.given(
    'an allocator with {workers:d} workers and an unconfirmed job of 1 task, {seconds:g} s after the last contact'
)
def given_unconfirmed_after(context, workers, seconds):
    take_over(context, workers)
    declare_from(
        context,
        OWNER,
        messages.DeclaredTask(name=TASK, cpu=1000),
        unconfirmed=True,
        redeclared=True,
        contact_age_s=seconds,
    )


@behave.given(
    'an allocator with {workers:d} workers and an unconfirmed job with a known run on worker {number:d}'
)
def given_known_run(context, workers, number):
    given_known_number(context, workers, values.FIRST_RUN, number)


@behave.given(
    'an allocator with {workers:d} workers and an unconfirmed job with known run {run:d} on worker {number:d}'
)
def given_known_number(context, workers, run, number):
    declare(context, workers, known_run(number, run))


def known_run(number, run=values.FIRST_RUN):
    return messages.DeclaredTask(
        name=TASK, cpu=1000, run=run, worker=values.WorkerId(f'w{number}')
    )


@behave.given(
    'an allocator with {workers:d} workers and a job of 1 task without a known run'
)
def given_without_known_run(context, workers):
    task = messages.DeclaredTask(name=TASK, cpu=1000)
    declare(context, workers, task, unconfirmed=False, redeclared=False)


def declare(context, workers, task, *, unconfirmed=True, redeclared=True):
    take_over(context, workers)
    declare_from(
        context, OWNER, task, unconfirmed=unconfirmed, redeclared=redeclared
    )


def take_over(context, workers):
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


def declare_from(
    context,
    owner,
    task,
    *,
    unconfirmed,
    redeclared=False,
    age_s=0,
    contact_age_s=SILENCE_S,
):
    context.machine.job_admission.declare(
        values.InstanceName(owner),
        messages.Declare(
            job=JOB,
            pool='pool',
            urgency=0,
            max_attempts=4,
            payload='',
            estimate_ms=900,
            age_ms=int(age_s * 1000),
            objective_ms=600,
            client_timeout_ms=6000,
            tasks=(task,),
            unconfirmed=unconfirmed,
            redeclared=redeclared,
            contact_age_ms=int(contact_age_s * 1000),
        ),
        context.now_s,
    )


@behave.when(
    'the other instance declares its job with a known run on worker {number:d}'
)
def when_declared_elsewhere(context, number):
    declare_from(
        context, OTHER, known_run(number), unconfirmed=False, redeclared=True
    )


@behave.when('the other instance withdraws its job')
def when_withdrawn_elsewhere(context):
    context.machine.job_admission.withdraw(OTHER, messages.Withdraw(job=JOB))


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


@behave.given(
    'an allocator with {workers:d} workers and a job that waits while worker 1 is silent'
)
def given_waiting(context, workers):
    given_without_known_run(context, workers)
    machine = context.machine
    pool_state = machine.state.pool('pool')
    context.reserved = values.Amount(cpu=pool_state.capacity.free_cpu)
    context.busy = machine.state.workers[values.WorkerId('w0')]
    context.busy.reserve(context.reserved, 1)
    machine.state.update_capacity(context.busy)
    report(context, 0)
    assert not starts_in(decisions(machine, context.now_s))


@behave.when(
    'another instance declares the job with a known run on worker {number:d}'
)
def when_declared_with_run(context, number):
    task = messages.DeclaredTask(
        name=TASK,
        cpu=1000,
        run=values.FIRST_RUN,
        worker=values.WorkerId(f'w{number}'),
    )
    declare_from(context, 'second', task, unconfirmed=True)


@behave.when('a third instance declares the job and withdraws it')
def when_third_withdraws(context):
    declare_from(
        context,
        'third',
        messages.DeclaredTask(name=TASK, cpu=1000),
        unconfirmed=False,
    )
    context.machine.job_admission.withdraw(
        values.InstanceName('third'), messages.Withdraw(job=JOB)
    )


@behave.given(
    'an allocator with a run on worker 0, whose clock was set back before its last start'
)
def given_set_back(context):
    take_over(context, 2)
    context.listed = [
        dataclasses.replace(
            pool_worker.worker_info_of(number, zone='a'),
            started_ms=number + SET_BACK_MS,
        )
        for number in range(2)
    ]
    context.machine.update_workers(context.listed, context.now_s)
    report(context, 0)
    task = messages.DeclaredTask(name=TASK, cpu=1000)
    declare_from(context, OWNER, task, unconfirmed=False)
    assert len(starts_in(decisions(context.machine, context.now_s))) == 1
    context.machine.pop_actions()


@behave.when('the list has its earlier start')
def when_listed_earlier(context):
    context.machine.update_workers(context.listed, context.now_s)


class CountedRuns(collections.UserDict):
    """Unclaimed runs of a worker that count how often they are looked up."""

    lookups = 0

    def __contains__(self, name):
        """Return whether there is a run of a task."""
        CountedRuns.lookups += 1
        return super().__contains__(name)

    def __getitem__(self, name):
        """Return the number of a run."""
        CountedRuns.lookups += 1
        return super().__getitem__(name)

    def pop(self, *args):
        """Remove a run."""
        CountedRuns.lookups += 1
        return super().pop(*args)


@behave.given(
    'an allocator to which {workers:d} workers report an unclaimed run each'
)
def given_unclaimed(context, workers):
    take_over(context, workers)
    for number in reversed(range(workers)):
        name = TASK if number == 1 else values.TaskName(f'{number:x}f.0.0.0')
        run = outcomes.ListedRun(task=name, number=values.FIRST_RUN)
        report(context, number, running=(run,))
    for worker_state in context.machine.state.workers.values():
        worker_state.unclaimed_runs = CountedRuns(worker_state.unclaimed_runs)
    CountedRuns.lookups = 0


@behave.then(
    'the unclaimed runs of workers are looked up at most {count:d} times'
)
def then_few_lookups(context, count):
    assert CountedRuns.lookups <= count, CountedRuns.lookups


@behave.then('the job is open, with a run on worker {number:d}')
def then_on_worker(context, number):
    assert context.machine.state.tasks[TASK].worker == f'w{number}'


@behave.given(
    'an allocator with 1 worker that drops the record of a job that is done'
)
def given_done(context):
    take_over(context, 1)
    report(context, 0)
    # The job ends just before the record begins a new generation.
    context.now_s = TAKEN_OVER_S + closed_jobs.RETENTION_S - 0.1
    context.arrived_s = context.now_s
    task = messages.DeclaredTask(name=TASK, cpu=1000)
    declare_from(context, OWNER, task, unconfirmed=False)
    assert len(starts_in(decisions(context.machine, context.now_s))) == 1
    report_end(context, 0, values.EndKind.DONE)
    for generation in (1, 2):
        context.now_s = TAKEN_OVER_S + generation * closed_jobs.RETENTION_S
        decisions(context.machine, context.now_s)
    assert context.machine.state.closed.find(JOB) is None


@behave.when(
    'the owner of the job is linked, and its next declaration takes {delay_s:g} s'
)
def when_declaration_delayed(context, delay_s):
    age_s = context.now_s - context.arrived_s
    context.machine.job_admission.earlier.on_owner_linked(OWNER, context.now_s)
    context.now_s += delay_s
    task = messages.DeclaredTask(name=TASK, cpu=1000)
    declare_from(
        context, OWNER, task, unconfirmed=False, redeclared=True, age_s=age_s
    )


@behave.when('the capacity that the job waits for becomes free')
def when_free(context):
    context.busy.reserve(context.reserved, -1)
    context.machine.state.update_capacity(context.busy)
    report(context, 0)


@behave.when('worker {number:d} reports a run of the task')
def when_reports_run(context, number):
    run = outcomes.ListedRun(task=TASK, number=values.FIRST_RUN)
    report(context, number, running=(run,))


@behave.when('worker {number:d} reports run {run:d} of the task')
def when_reports_later_run(context, number, run):
    listed = outcomes.ListedRun(task=TASK, number=values.RunNumber(run))
    report(context, number, running=(listed,))


@behave.given(
    'an allocator with {workers:d} workers to which no job is declared'
)
def given_undeclared(context, workers):
    take_over(context, workers)


@behave.when('worker {number:d} reports that run {run:d} is done')
def when_run_done(context, number, run):
    report_end(context, number, values.EndKind.DONE, run)


@behave.when('worker {number:d} reports that run {run:d} was stopped')
def when_run_stopped(context, number, run):
    report_end(context, number, values.EndKind.STOPPED, run)


@behave.when('worker {number:d} reports that the run was stopped')
def when_reports_stopped(context, number):
    report_end(context, number, values.EndKind.STOPPED)


@behave.when('worker {number:d} reports that the run has failed')
def when_reports_failed(context, number):
    report_end(context, number, values.EndKind.FAILED)


@behave.when('worker {number:d} reports that the run is done')
def when_reports_done(context, number):
    report_end(context, number, values.EndKind.DONE)


def report_end(context, number, kind, run=values.FIRST_RUN):
    end = outcomes.ListedEnd(
        position=1, task=TASK, number=values.RunNumber(run), kind=kind
    )
    report(context, number, ended=(end,))


@behave.when('the task is started on worker {number:d}, which does not answer')
def when_unanswered(context, number):
    machine = context.machine
    start = starts_in(decisions(machine, context.now_s))[0]
    assert start.worker_id == f'w{number}', start
    machine.runs.on_start_outcome(
        worker_id=start.worker_id,
        name=start.task,
        number=start.number,
        outcome=outcomes.NoAnswer(detail='no answer in time'),
        now_s=context.now_s,
    )
    machine.pop_actions()


@behave.when('the owner withdraws its job')
def when_withdrawn(context):
    context.machine.job_admission.withdraw(OWNER, messages.Withdraw(job=JOB))


@behave.when('worker {number:d} reports no run')
def when_reports_none(context, number):
    report(context, number)


@behave.when('the owner declares the job again without a run')
def when_declared_again(context):
    context.machine.pop_actions()
    task = messages.DeclaredTask(name=TASK, cpu=1000)
    declare_from(context, OWNER, task, unconfirmed=True, redeclared=True)


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
    return tuple(machine.state.pending)


def starts_in(decided):
    return [
        action for action in decided if isinstance(action, actions.StartRun)
    ]


def sent_to_owner(context):
    return [
        action.message
        for action in context.machine.state.pending
        if isinstance(action, actions.NotifyOwner)
    ]


@behave.then('the job is given up as one that may have started')
def then_may_have_started(context):
    sent = sent_to_owner(context)
    match sent[-1]:
        case messages.GivenUp(may_have_started=True):
            return
    raise AssertionError(sent)


@behave.then('an end of the task as done is sent to its owner')
def then_done(context):
    sent = sent_to_owner(context)
    match sent[-1]:
        case messages.Ended(index=0, kind=values.EndKind.DONE):
            return
    raise AssertionError(sent)
