"""Writes JSON lines to standard output without blocking the event loop.

Lines that exceed the buffer while the pipe is full are dropped; the next line
that is written gives their number.
"""

import errno
import os
import time
import traceback
from typing import Any, Final

import loguru
import msgspec
from twisted import logger as twisted_logger

# Buffer for a slow reader; a line that does not fit is dropped.
MAX_BUFFERED_BYTES: Final = 262_144
_STDOUT: Final = 1
_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


class LineWriter:
    """Implements `decision_log.WriterPort` on a file descriptor.

    Attributes:
        process: Name of the process, a field of every line.
        descriptor: File descriptor, set to non-blocking.
        dropped: Lines dropped since the last one that was accepted.
        buffered: Bytes that are not written yet.
    """

    def __init__(self, *, process: str, descriptor: int = _STDOUT) -> None:
        self.process = process
        self.descriptor = descriptor
        self.dropped = 0
        self.buffered = b''
        os.set_blocking(descriptor, False)

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write a line, or drop it if the buffer is full."""
        line = {
            'time': round(time.time(), 3),
            'process': self.process,
            'event': event,
            **fields,
        }
        if self.dropped:
            line['lines_dropped_before'] = self.dropped
        encoded = _ENCODER.encode(line)
        if len(self.buffered) + len(encoded) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.dropped = 0
        self.buffered = b'%s%s\n' % (self.buffered, encoded)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        try:
            written = os.write(self.descriptor, self.buffered)
        except OSError as error:
            if error.errno not in {errno.EAGAIN, errno.EPIPE}:
                raise
            return
        self.buffered = self.buffered[written:]

    def write_log_record(self, message: Any) -> None:
        """Write a record of loguru; a loguru sink."""
        record = message.record
        fields = {
            'level': record['level'].name,
            'part': record['extra'].get('part', ''),
            'message': record['message'],
        }
        error = record['exception']
        if error is not None:
            lines = traceback.format_exception(error.value)
            fields['traceback'] = ''.join(lines)
        self.write('log', fields)

    def write_twisted_event(self, event: Any) -> None:
        """Write an event of Twisted's logger if it has a failure."""
        error = event.get('log_failure')
        if error is None:
            return
        self.write(
            'log',
            {
                'level': 'ERROR',
                'part': 'twisted',
                'message': error.getErrorMessage(),
                'traceback': error.getTraceback(),
            },
        )


def redirect_logs(writer: LineWriter) -> None:
    """Send the logs of loguru and Twisted to a writer."""
    loguru.logger.remove()
    loguru.logger.add(writer.write_log_record, level='INFO', format='{message}')
    # Twisted accepts any callable; its stubs require a declared interface.
    observers: Any = [writer.write_twisted_event]
    twisted_logger.globalLogBeginner.beginLoggingTo(
        observers, redirectStandardIO=False
    )
