"""Steps that explain a request from log lines."""

import json
import pathlib
import subprocess
import sys
import tempfile

import behave

JOB = '3c5fa28c79998a89'
OTHER = 'ffffffffffffffff'


def log_line(time_s, process, event, **fields):
    return {
        'time': time_s,
        'process': process,
        'event': event,
        'job': JOB,
        **fields,
    }


def end_line(outcome, age_ms, **fields):
    event = 'job_completed' if outcome == 'Completed' else 'job_failed'
    return log_line(
        1000 + age_ms / 1000,
        'front-2',
        event,
        outcome=outcome,
        age_ms=age_ms,
        urgency=2,
        tasks=2,
        estimate_ms=365,
        aim_ms=279,
        patience_ms=5415,
        version=9,
        **fields,
    )


def write_log(context, lines):
    directory = pathlib.Path(tempfile.mkdtemp(prefix='guavaroad-'))
    context.log = directory / 'front.log'
    text = '\n'.join(json.dumps(fields) for fields in lines)
    context.log.write_text(f'{text}\n')


@behave.given('log lines of a request that was refused under load')
def given_refused(context):
    detail = (
        'expected wait 2.31 s behind 900 core-seconds, useful within 1.10 s'
    )
    chain = [f'overloaded {detail} at 2 ms']
    write_log(
        context,
        [end_line('NotRun', 2, reason='overloaded', open_tasks=2, chain=chain)],
    )


@behave.given('log lines of a request whose allocator crashed')
def given_crashed(context):
    chain = [
        "started ((0, 1, 'i-1'),) at 12 ms",
        'allocator_lost  at 300 ms',
        'withdrawn  at 5325 ms',
    ]
    placed = log_line(1000.012, 'front-1', 'placed', starts=['0.1@i-1'])
    last = end_line(
        'OutcomeUnknown', 5325, reason='withdrawn', open_tasks=1, chain=chain
    )
    write_log(context, [last, placed])


@behave.given('log lines of a request that a slow worker delayed')
def given_slow(context):
    placed = log_line(1000.01, 'front-1', 'placed', starts=['0.1@i-1'])
    moved = log_line(
        1000.97, 'front-1', 'run_moved', run=1, worker='i-1', percent=29
    )
    write_log(context, [placed, moved, end_line('Completed', 1905)])


@behave.given('truncated, unstructured and unrelated lines in the same log')
def given_other_lines(context):
    text = context.log.read_text()
    truncated = text[: len(text) // 2]
    other = text.replace(JOB, OTHER)
    context.log.write_text(
        f'front-2 {text}{truncated}\nno line: {JOB}\n{other}'
    )


@behave.when('the request is explained')
def when_explained(context):
    explain(context, JOB)


@behave.when('another request is explained')
def when_other(context):
    explain(context, '0000000000000000')


def explain(context, job_id):
    program = [sys.executable, '-m', 'guavaroadctl.main']
    command = [*program, 'explain', job_id, str(context.log)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    context.exit_code = done.returncode
    context.printed = done.stdout
    context.noted = done.stderr
