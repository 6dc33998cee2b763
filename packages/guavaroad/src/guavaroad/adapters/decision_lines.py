"""Structured lines to standard output, which never block the loop.

A line is one JSON object.  What a full pipe does not take is dropped, and how
much is told in the next line that gets through.
"""

import errno
import os
import time
import traceback
from typing import Any, Final

import loguru
import msgspec
from twisted import logger as twisted_logger

# Bytes that wait for a reader that is slow; more is dropped.
MOST_BUFFERED: Final = 262_144
_STDOUT: Final = 1
_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


class LineWriter:
    """Implements `decision_log.WriterPort` on a file descriptor.

    Attributes:
        dropped: Lines dropped since one last got through.
    """

    def __init__(self, *, process: str, descriptor: int = _STDOUT) -> None:
        self.process = process
        self.descriptor = descriptor
        self.dropped = 0
        self.buffered = b''
        os.set_blocking(descriptor, False)

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write a line, or drop it."""
        line = {
            'time': round(time.time(), 3),
            'process': self.process,
            'event': event,
            **fields,
        }
        if self.dropped:
            line['lines_dropped_before'] = self.dropped
        encoded = _ENCODER.encode(line)
        if len(self.buffered) + len(encoded) > MOST_BUFFERED:
            self.dropped += 1
            return
        self.dropped = 0
        self.buffered = b'%s%s\n' % (self.buffered, encoded)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes."""
        try:
            written = os.write(self.descriptor, self.buffered)
        except OSError as error:
            if error.errno not in {errno.EAGAIN, errno.EPIPE}:
                raise
            return
        self.buffered = self.buffered[written:]

    def take_log(self, message: Any) -> None:
        """Take a record of the log library, as a sink of it."""
        record = message.record
        fields = {
            'level': record['level'].name,
            'part': record['extra'].get('part', ''),
            'message': record['message'],
        }
        broken = record['exception']
        if broken is not None:
            lines = traceback.format_exception(broken.value)
            fields['traceback'] = ''.join(lines)
        self.write('log', fields)

    def take_twisted(self, event: Any) -> None:
        """Take an event of Twisted's own logger, if it tells of an error."""
        broken = event.get('log_failure')
        if broken is None:
            return
        self.write(
            'log',
            {
                'level': 'ERROR',
                'part': 'twisted',
                'message': broken.getErrorMessage(),
                'traceback': broken.getTraceback(),
            },
        )


def send_logs_to(writer: LineWriter) -> None:
    """Send every log line of this process to a writer."""
    loguru.logger.remove()
    loguru.logger.add(writer.take_log, level='INFO', format='{message}')
    # Twisted takes any callable; its stubs ask for a declared interface.
    observers: Any = [writer.take_twisted]
    twisted_logger.globalLogBeginner.beginLoggingTo(
        observers, redirectStandardIO=False
    )
