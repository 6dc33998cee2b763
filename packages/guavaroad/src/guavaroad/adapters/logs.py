"""Logs: short sentences, each with the prefix of the part that says it."""

import dataclasses
import json
import re
import sys
import traceback
from collections.abc import Iterable
from typing import Any, Final, TextIO

import loguru
from twisted import logger as twisted_logger

from guavaroad import settings
from guavaroad.ports import logs

_HIDDEN: Final = '***'
_BEARER: Final = re.compile(r'(?i)(bearer\s+)\S+')
_TEXT_TIME: Final = '%Y-%m-%dT%H:%M:%S.%f%z'
_TWISTED_PART: Final = 'twisted'

# Adapters find the loggers here; services go to the port.
logger_of: Final = logs.logger_of


def set_up(chosen: settings.Logs, *, secrets: Iterable[str] = ()) -> None:
    """Send the logs of this process, Twisted's included, to their sink.

    Args:
        chosen: Level, stream and form.
        secrets: Texts that no line may show.
    """
    stream = sys.stdout if chosen.sink == 'stdout' else sys.stderr
    sink = Sink(
        stream=stream,
        json_lines=chosen.json_lines,
        redactor=Redactor(secrets=secrets),
    )
    loguru.logger.remove()
    # Values in a traceback could be secrets.
    loguru.logger.add(
        sink.write,
        level=chosen.level,
        format='{message}',
        backtrace=False,
        diagnose=False,
    )
    # Twisted takes any callable; its stubs ask for a declared interface.
    observers: Any = [observe_twisted]
    twisted_logger.globalLogBeginner.beginLoggingTo(
        observers, redirectStandardIO=False
    )


class Redactor:
    """Hides secrets in a line."""

    def __init__(self, *, secrets: Iterable[str]) -> None:
        longest_first = sorted(set(secrets), key=len, reverse=True)
        self.pattern = re.compile('|'.join(map(re.escape, longest_first)))

    def clean(self, text: str) -> str:
        """Return the text with every secret replaced."""
        shown = _BEARER.sub(rf'\1{_HIDDEN}', text)
        if not self.pattern.pattern:
            return shown
        return self.pattern.sub(_HIDDEN, shown)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sink:
    """Writes records to a stream, one line each.

    Attributes:
        stream: Where lines go.
        json_lines: Whether a line is a JSON object.
        redactor: Hides secrets.
    """

    stream: TextIO
    json_lines: bool
    redactor: Redactor

    def write(self, message: Any) -> None:
        """Write the record of a loguru message."""
        record = message.record
        line = json_line(record) if self.json_lines else text_line(record)
        self.stream.write(self.redactor.clean(line))
        self.stream.write('\n')
        self.stream.flush()


def text_line(record: Any) -> str:
    """Return a record as text; only a traceback spans several lines."""
    time = record['time'].strftime(_TEXT_TIME)
    level = record['level'].name
    part = record['extra'].get('part')
    prefix = f'{part}: ' if part else ''
    # A client's text must not forge a line.
    said = record['message'].replace('\r', r'\r').replace('\n', r'\n')
    trace = traceback_of(record)
    ending = f'\n{trace}' if trace else ''
    return f'{time} {level} {prefix}{said}{ending}'


def json_line(record: Any) -> str:
    """Return a record as one JSON object."""
    fields = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'part': record['extra'].get('part', ''),
        'message': record['message'],
    }
    trace = traceback_of(record)
    if trace:
        fields['traceback'] = trace
    return json.dumps(fields)


def traceback_of(record: Any) -> str:
    """Return the traceback of a record, empty if it has none."""
    broken = record['exception']
    if broken is None:
        return str(record['extra'].get('traceback', ''))
    return ''.join(traceback.format_exception(broken.value))


def observe_twisted(event: Any) -> None:
    """Log an event of Twisted's own logger.

    Args:
        event: Event with Twisted's keys.
    """
    broken = event.get('log_failure')
    said = twisted_logger.formatEvent(event)
    if broken is None:
        level = _level_of(event['log_level'])
        logs.logger_of(_TWISTED_PART).log(level, '{}', said)
        return
    kind = broken.type.__name__
    reason = f'{kind}: {broken.getErrorMessage()}'
    said_by_twisted = logs.logger_of(_TWISTED_PART).bind(
        traceback=broken.getTraceback()
    )
    said_by_twisted.error('{}', f'{said}: {reason}' if said else reason)


def _level_of(level: Any) -> str:
    match level:
        case twisted_logger.LogLevel.critical | twisted_logger.LogLevel.error:
            return 'ERROR'
        case twisted_logger.LogLevel.warn:
            return 'WARNING'
    # What Twisted tells of each connection is detail here.
    return 'DEBUG'
