"""Steps for the decisions on the runs of a worker that restarts."""

import behave
import unconfirmed_steps

from guavaroad.domain.pool import actions, outcomes, values

RESTARTED_MS = 1000
BEFORE_START_S = 0.001


@behave.when('the task is placed')
def when_placed(context):
    decided = unconfirmed_steps.decisions(context.machine, context.now_s)
    starts = unconfirmed_steps.starts_in(decided)
    assert len(starts) == 1, starts
    context.start = starts[0]
    context.machine.pop_actions()


def report(context, *, running=(), sent_s=None, started_ms=0):
    machine = context.machine
    worker_id = context.start.worker_id
    before_ms = machine.state.workers[worker_id].worker_info.started_ms
    context.now_s += unconfirmed_steps.REPORT_INTERVAL_S
    machine.reports.record_report(
        worker_id=worker_id,
        report=outcomes.RunReport(
            clock_ms=int(context.now_s * 1000),
            started_ms=started_ms or before_ms,
            running=running,
            ended=(),
        ),
        sent_s=sent_s or context.now_s,
        now_s=context.now_s,
    )


@behave.when('its worker reports its run')
def when_reports_run(context):
    run = outcomes.ListedRun(
        task=context.start.task, number=context.start.number
    )
    report(context, running=(run,))


@behave.when('its worker reports no run after a restart')
def when_restarted(context):
    report(context, started_ms=RESTARTED_MS)


@behave.when(
    'its worker reports no run after a restart, to a poll before the start'
)
def when_restarted_before(context):
    sent_s = unconfirmed_steps.TAKEN_OVER_S + BEFORE_START_S
    report(context, started_ms=RESTARTED_MS, sent_s=sent_s)


@behave.when('its start is accepted')
def when_accepted(context):
    start_outcome(context, outcomes.Accepted())


@behave.when('its start is accepted at {clock_ms:d} ms of the earlier clock')
def when_accepted_earlier(context, clock_ms):
    start_outcome(context, outcomes.Accepted(clock_ms=clock_ms))


@behave.then('the clock of the worker is that of its report')
def then_clock(context):
    worker = context.machine.state.workers[context.start.worker_id]
    assert worker.lease.clock_ms == worker.report_clock_ms, worker.lease


@behave.when('its start is not answered')
def when_not_answered(context):
    start_outcome(context, outcomes.NoAnswer(detail='no answer in time'))


def start_outcome(context, outcome):
    context.machine.runs.on_start_outcome(
        worker_id=context.start.worker_id,
        name=context.start.task,
        number=context.start.number,
        outcome=outcome,
        now_s=context.now_s,
    )


@behave.when('its stop is accepted')
def when_stop_accepted(context):
    context.machine.runs.on_stop_outcome(
        worker_id=context.start.worker_id,
        name=context.start.task,
        number=context.start.number,
        outcome=outcomes.Accepted(),
        now_s=context.now_s,
    )
    context.machine.pop_actions()


@behave.then('its run is stopped')
def then_stopped(context):
    stops = [
        action
        for action in context.machine.pop_actions()
        if isinstance(action, actions.StopRun)
    ]
    expected = (
        context.start.worker_id,
        values.TaskName(context.start.task),
        context.start.number,
    )
    assert [(stop.worker_id, stop.task, stop.number) for stop in stops] == [
        expected
    ], stops
