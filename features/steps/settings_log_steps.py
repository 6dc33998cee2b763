"""Steps about the format of log lines."""

import gc
import io
import json
from unittest import mock

import behave
import loguru
from twisted import logger as twisted_logger
from twisted.internet import defer

from guavaroad import settings
from guavaroad.adapters import logs
from guavaroad.ports import logs as port_logs


def set_up(context, secrets=(), **log_options):
    context.lines = io.StringIO()
    beginner = mock.Mock()
    with (
        mock.patch('sys.stderr', context.lines),
        mock.patch.object(twisted_logger, 'globalLogBeginner', beginner),
    ):
        logs.set_up(settings.Logs(**log_options), secrets=secrets)
    context.add_cleanup(loguru.logger.remove)
    begin_call = beginner.beginLoggingTo.call_args
    observer = begin_call.args[0][0]
    twisted_logger.globalLogPublisher.addObserver(observer)
    context.add_cleanup(
        twisted_logger.globalLogPublisher.removeObserver, observer
    )


def written(context):
    return context.lines.getvalue().splitlines()


def only_line(context):
    lines = written(context)
    assert len(lines) == 1, lines
    return lines[0]


@behave.given('logs at level {level:w}')
def given_logs(context, level):
    set_up(context, level=level)


@behave.given('logs at level {level:w} as JSON')
def given_json_logs(context, level):
    set_up(context, level=level, json_lines=True)


@behave.given('logs at level {level:w} that redact "{secret}"')
def given_redacting_logs(context, level, secret):
    set_up(context, secrets=[secret], level=level)


@behave.when('part "{part}" logs "{message}"')
def when_logged(context, part, message):
    port_logs.logger_of(part).info('{}', message)


@behave.when('part "{part}" logs a text with a line break')
def when_line_break_logged(context, part):
    port_logs.logger_of(part).info(
        'bad job name {}', 'x\n2026 INFO api: forged'
    )


@behave.when('a Deferred fails without an errback')
def when_unhandled(context):
    defer.fail(RuntimeError('lost answer'))
    gc.collect()


@behave.then('one line ends with "{ending}"')
def then_ends(context, ending):
    line = only_line(context)
    assert line.endswith(ending), line


@behave.then('no line is written')
def then_no_line(context):
    assert not written(context)


@behave.then('{count:d} line is written')
def then_lines(context, count):
    assert len(written(context)) == count, written(context)


@behave.then(
    'the JSON line has part "{part}", level "{level}" and message "{message}"'
)
def then_json(context, part, level, message):
    line = only_line(context)
    fields = json.loads(line)
    assert fields.pop('time')
    expected = {'part': part, 'level': level, 'message': message}
    assert fields == expected, fields


@behave.then('a line contains "{text}"')
def then_contains(context, text):
    assert any(text in line for line in written(context)), written(context)
