"""Steps for the decisions on runs of a worker that restarts."""

import behave

from guavaroad.domain.pool import actions, outcomes, values

TASK = values.TaskName('1.0.0.0')
WORKER = values.WorkerId('w0')
RESTARTED_MS = 5000
# Less than the period of the allocator's ticks.
INTERVAL_S = 0.005


def pass_time(context):
    context.now_s += INTERVAL_S
    return context.now_s


def report(context, *, sent_s):
    now_s = pass_time(context)
    context.machine.reports.record_report(
        worker_id=WORKER,
        report=outcomes.RunReport(
            clock_ms=int(now_s * 1000),
            started_ms=RESTARTED_MS,
            running=(),
            ended=(),
        ),
        sent_s=sent_s,
        now_s=now_s,
    )


@behave.when('worker 0 reports no run after a restart')
def when_restarted(context):
    report(context, sent_s=pass_time(context))


@behave.when('worker 0 is polled')
def when_polled(context):
    context.polled_s = pass_time(context)


@behave.when('worker 0 answers the poll after a restart')
def when_poll_answered(context):
    report(context, sent_s=context.polled_s)


@behave.when('worker 0 accepts the start')
def when_accepted(context):
    record_outcome(context, outcomes.Accepted(clock_ms=-1))


@behave.when('worker 0 refuses the start')
def when_refused(context):
    refused = outcomes.Refused(reason=outcomes.Refusal.UNREACHED)
    record_outcome(context, refused)


def record_outcome(context, outcome):
    context.machine.runs.on_start_outcome(
        worker_id=WORKER,
        name=TASK,
        number=values.FIRST_RUN,
        outcome=outcome,
        now_s=pass_time(context),
    )


@behave.then('the task is started {count:d} times')
def then_started(context, count):
    machine = context.machine
    machine.tick(context.now_s)
    machine.place(context.now_s)
    starts = [
        action
        for action in machine.state.pending
        if isinstance(action, actions.StartRun)
    ]
    assert len(starts) == count, starts
