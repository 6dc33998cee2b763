"""Steps about the log lines of decisions."""

import os
import time

import behave
import msgspec
from twisted.internet import task

from guavaroad.adapters import decision_lines, reactor_timers
from guavaroad.domain import names
from guavaroad.domain.pool import open_jobs, values
from guavaroad.services.pool import decision_log
from support import pool_worlds


@behave.given('a journal')
def given_journal(context):
    context.lines = pool_worlds.Lines()
    context.journal = decision_log.DecisionLog(
        writer=context.lines,
        counters=context.lines,
        timer_service=reactor_timers.ReactorTimers(clock=task.Clock()),
    )


@behave.when('{count:d} decisions of one kind are made within a second')
def when_decided(context, count):
    for number in range(count):
        context.journal.log_event('placed', job=number)


@behave.then('at most {count:d} lines are written')
def then_few(context, count):
    assert 0 < len(context.lines.lines) <= count, len(context.lines.lines)


@behave.then('the next report says that the others were left out')
def then_told(context):
    written = len(context.lines.lines)
    context.journal.report_suppressed()
    event, fields = context.lines.lines[-1]
    assert event == 'lines_left_out'
    assert fields['by_event'] == {'placed': 1000 - written}, fields


@behave.then('the counter of that kind says {count:d}')
def then_counted(context, count):
    assert context.lines.counts['placed'] == count


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
    opened = open_jobs.open_job(request, now_s=0, on_outcome=lambda _: None)
    opened.record_event('started', 1)
    return opened


@behave.when('{good:d} jobs complete and {bad:d} fail within a second')
def when_ended(context, good, bad):
    for number in range(good):
        done = open_jobs.Completed()
        context.journal.log_job_outcome(job(number), done, 1)
    for number in range(bad):
        unknown = open_jobs.OutcomeUnknown(reason='withdrawn')
        context.journal.log_job_outcome(job(f'bad-{number}'), unknown, 1)


@behave.then('every failed job has a line with its chain')
def then_chains(context):
    failed = [
        fields for event, fields in context.lines.lines if event == 'job_failed'
    ]
    assert len(failed) == 50, len(failed)
    assert all(fields['chain'] for fields in failed)


@behave.given('a writer whose reader has stopped')
def given_stopped(context):
    ends = os.pipe()
    context.reader = ends[0]
    context.written_to = ends[1]
    context.writer = decision_lines.LineWriter(
        process='i1', descriptor=context.written_to
    )


@behave.when('{count:d} lines are written to it')
def when_written(context, count):
    begun_s = time.monotonic()
    for number in range(count):
        context.writer.write('placed', {'job': number, 'text': 'x' * 100})
    context.taken_s = time.monotonic() - begun_s


@behave.then('that took less than {seconds:d} s')
def then_quick(context, seconds):
    assert context.taken_s < seconds, context.taken_s
    assert context.writer.dropped > 0


@behave.then(
    'after the reader is back the next line says how many were dropped'
)
def then_dropped(context):
    dropped = context.writer.dropped
    os.set_blocking(context.reader, False)
    seen = b''
    for _ in range(100):
        seen += drain(context.reader)
        context.writer.flush()
    context.writer.write('placed', {'job': 'last'})
    seen += drain(context.reader)
    last = msgspec.json.decode(seen.splitlines()[-1])
    assert last['lines_dropped_before'] == dropped, last
    os.close(context.reader)
    os.close(context.written_to)


def drain(descriptor):
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b''


@behave.given('a repeated call that fails at its second time')
def given_repeated(context):
    context.clock = task.Clock()
    context.calls = []
    timer_service = reactor_timers.ReactorTimers(clock=context.clock)
    timer_service.subscribe(1, lambda: fail_second(context.calls))


def fail_second(calls):
    calls.append(len(calls))
    if len(calls) == 2:
        raise ValueError('planted')


@behave.when('{count:d} periods pass')
def when_periods(context, count):
    for _ in range(count):
        context.clock.advance(1)


@behave.then('it was made {count:d} times')
def then_made(context, count):
    assert len(context.calls) == count, context.calls
