"""Steps for the decision log."""

import os
import time

import behave
import msgspec
from twisted.internet import task

from guavaroad.adapters import line_writer, reactor_timers
from guavaroad.domain import names
from guavaroad.domain.pool import open_jobs, values
from guavaroad.services.pool import decision_log
from support import pool_worlds


@behave.given('a decision log')
def given_decision_log(context):
    context.recorder = pool_worlds.LogRecorder()
    context.decision_log = decision_log.DecisionLog(
        writer=context.recorder,
        counters=context.recorder,
        timer_service=reactor_timers.ReactorTimers(clock=task.Clock()),
    )


@behave.when('{count:d} events of one kind are logged within a second')
def when_logged(context, count):
    for number in range(count):
        context.decision_log.log_event('placed', job=number)


@behave.then('at most {count:d} lines are written')
def then_limited(context, count):
    assert 0 < len(context.recorder.lines) <= count, len(context.recorder.lines)


@behave.then('the next report counts the suppressed lines')
def then_suppressed_counted(context):
    written = len(context.recorder.lines)
    context.decision_log.report_suppressed()
    event, fields = context.recorder.lines[-1]
    assert event == 'lines_left_out'
    assert fields['by_event'] == {'placed': 1000 - written}, fields


@behave.then('the counter of that event is {count:d}')
def then_event_counted(context, count):
    assert context.recorder.counts['placed'] == count


def job(number):
    request = open_jobs.JobRequest(
        job_id=values.JobId(str(number)),
        pool=names.PoolName('pool'),
        urgency=0,
        max_attempts=1,
        payload='',
        estimate_ms=1,
        objective_ms=1,
        client_timeout_ms=1,
        tasks=(),
    )
    open_job = open_jobs.open_job(
        request, attempt=1, now_s=0, on_outcome=lambda _: None
    )
    open_job.record_event('started', 1)
    return open_job


@behave.when('{good:d} jobs complete and {bad:d} fail within a second')
def when_jobs_end(context, good, bad):
    for number in range(good):
        done = open_jobs.Completed()
        context.decision_log.log_job_outcome(job(number), done, 1)
    for number in range(bad):
        unknown = open_jobs.OutcomeUnknown(reason='withdrawn')
        context.decision_log.log_job_outcome(job(f'bad-{number}'), unknown, 1)


@behave.then('every failed job has a line with its chain')
def then_chain_logged(context):
    failed = [
        fields
        for event, fields in context.recorder.lines
        if event == 'job_failed'
    ]
    assert len(failed) == 50, len(failed)
    assert all(fields['chain'] for fields in failed)


@behave.given('a log writer whose reader has stopped')
def given_stopped(context):
    pipe = os.pipe()
    context.reader = pipe[0]
    context.write_end = pipe[1]
    context.writer = line_writer.LineWriter(
        process='i1', descriptor=context.write_end
    )


@behave.when('{count:d} lines are written to it')
def when_written(context, count):
    started_s = time.monotonic()
    for number in range(count):
        context.writer.write('placed', {'job': number, 'text': 'x' * 100})
    context.elapsed_s = time.monotonic() - started_s


@behave.then('the writes take less than {seconds:d} s')
def then_not_blocked(context, seconds):
    assert context.elapsed_s < seconds, context.elapsed_s
    assert context.writer.dropped > 0


@behave.then('when the reader resumes, the next line counts the dropped lines')
def then_dropped_counted(context):
    dropped = context.writer.dropped
    os.set_blocking(context.reader, False)
    received = b''
    for _ in range(100):
        received += drain(context.reader)
        context.writer.flush()
    context.writer.write('placed', {'job': 'last'})
    received += drain(context.reader)
    last = msgspec.json.decode(received.splitlines()[-1])
    assert last['lines_dropped_before'] == dropped, last
    os.close(context.reader)
    os.close(context.write_end)


def drain(descriptor):
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b''


@behave.given('a periodic call that fails the second time')
def given_periodic_call(context):
    context.clock = task.Clock()
    context.calls = []
    timer_service = reactor_timers.ReactorTimers(clock=context.clock)
    timer_service.subscribe(1, lambda: fail_on_second_call(context.calls))


def fail_on_second_call(calls):
    calls.append(len(calls))
    if len(calls) == 2:
        raise ValueError('injected failure')


@behave.when('{count:d} periods pass')
def when_periods(context, count):
    for _ in range(count):
        context.clock.advance(1)


@behave.then('the call is made {count:d} times')
def then_call_count(context, count):
    assert len(context.calls) == count, context.calls
