"""Set-up of the process's logs: format, redaction and Twisted's events."""

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

_REDACTED: Final = '***'
_BEARER: Final = re.compile(r'(?i)(bearer\s+)\S+')
_TEXT_TIME: Final = '%Y-%m-%dT%H:%M:%S.%f%z'
_TWISTED_PART: Final = 'twisted'

# Adapters get their loggers here, services from the port.
logger_of: Final = logs.logger_of


def set_up(log_settings: settings.Logs, *, secrets: Iterable[str] = ()) -> None:
    """Configure the logs of this process, including those of Twisted.

    Args:
        log_settings: Level, stream and format.
        secrets: Texts to redact in every line.
    """
    stream = sys.stdout if log_settings.sink == 'stdout' else sys.stderr
    sink = Sink(
        stream=stream,
        json_lines=log_settings.json_lines,
        redactor=Redactor(secrets=secrets),
    )
    loguru.logger.remove()
    # Variable values in a traceback could contain secrets.
    loguru.logger.add(
        sink.write,
        level=log_settings.level,
        format='{message}',
        backtrace=False,
        diagnose=False,
    )
    # Twisted accepts any callable; its stubs require a declared interface.
    observers: Any = [observe_twisted]
    twisted_logger.globalLogBeginner.beginLoggingTo(
        observers, redirectStandardIO=False
    )


class Redactor:
    """Replaces secrets in log lines."""

    def __init__(self, *, secrets: Iterable[str]) -> None:
        longest_first = sorted(set(secrets), key=len, reverse=True)
        self.pattern = re.compile('|'.join(map(re.escape, longest_first)))

    def clean(self, text: str) -> str:
        """Return the text with all secrets replaced."""
        redacted = _BEARER.sub(rf'\1{_REDACTED}', text)
        if not self.pattern.pattern:
            return redacted
        return self.pattern.sub(_REDACTED, redacted)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sink:
    """Writes log records to a stream.

    Attributes:
        stream: Output stream.
        json_lines: Whether each line is a JSON object.
        redactor: Replaces secrets.
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
    """Return a record as one line of text, then its traceback if any."""
    time = record['time'].strftime(_TEXT_TIME)
    level = record['level'].name
    part = record['extra'].get('part')
    prefix = f'{part}: ' if part else ''
    # A line break in a client's text must not forge a log line.
    message = record['message'].replace('\r', r'\r').replace('\n', r'\n')
    traceback_text = traceback_of(record)
    ending = f'\n{traceback_text}' if traceback_text else ''
    return f'{time} {level} {prefix}{message}{ending}'


def json_line(record: Any) -> str:
    """Return a record as one JSON object."""
    fields = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'part': record['extra'].get('part', ''),
        'message': record['message'],
    }
    traceback_text = traceback_of(record)
    if traceback_text:
        fields['traceback'] = traceback_text
    return json.dumps(fields)


def traceback_of(record: Any) -> str:
    """Return the traceback of a record, or an empty text."""
    error = record['exception']
    if error is None:
        return str(record['extra'].get('traceback', ''))
    return ''.join(traceback.format_exception(error.value))


def observe_twisted(event: Any) -> None:
    """Log an event of Twisted's own logger.

    Args:
        event: Event with Twisted's keys.
    """
    error = event.get('log_failure')
    message = twisted_logger.formatEvent(event)
    if error is None:
        level = _level_of(event['log_level'])
        logs.logger_of(_TWISTED_PART).log(level, '{}', message)
        return
    error_type = error.type.__name__
    reason = f'{error_type}: {error.getErrorMessage()}'
    twisted_log = logs.logger_of(_TWISTED_PART).bind(
        traceback=error.getTraceback()
    )
    twisted_log.error('{}', f'{message}: {reason}' if message else reason)


def _level_of(level: Any) -> str:
    match level:
        case twisted_logger.LogLevel.critical | twisted_logger.LogLevel.error:
            return 'ERROR'
        case twisted_logger.LogLevel.warn:
            return 'WARNING'
    # Twisted logs every connection at info level; that is detail here.
    return 'DEBUG'
