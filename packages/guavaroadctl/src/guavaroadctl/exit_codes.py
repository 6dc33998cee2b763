"""Exit codes of the program.

The exit code of an unsuccessful answer is the first digit of its result code.
"""

import enum
from http import HTTPStatus
from typing import Final

from guavaroad.domain import codes

_FAMILY_SIZE: Final = 1000
_SUCCESS_FAMILY: Final = 1


class ExitCode(enum.IntEnum):
    """Exit code of the program."""

    SUCCESS = 0
    USAGE = 1
    REFUSED = 2
    FAILED = 3
    UNKNOWN = 4
    CONFIGURATION = 5
    UNREACHED = 6
    NOT_YET = 7
    INTERNAL = 9
    INTERRUPTED = 130


MEANINGS: Final = (
    (ExitCode.SUCCESS, 'The request succeeded.'),
    (ExitCode.USAGE, 'Invalid argument, flag or file; nothing was sent.'),
    (ExitCode.REFUSED, 'Refused, and nothing was run (2xxx).'),
    (ExitCode.FAILED, 'The job failed after a start (3xxx).'),
    (
        ExitCode.UNKNOWN,
        'The outcome is unknown (4xxx), or no answer came after sending.',
    ),
    (ExitCode.CONFIGURATION, 'The patch was not accepted (5xxx).'),
    (ExitCode.UNREACHED, 'No instance could be reached; nothing was sent.'),
    (ExitCode.NOT_YET, 'A wait timed out before its condition was met.'),
    (
        ExitCode.INTERNAL,
        'Internal error of the client or of an instance (9xxx).',
    ),
    (ExitCode.INTERRUPTED, 'Interrupted by a signal.'),
)


def from_result_code(number: int) -> ExitCode:
    """Return the exit code for a result code.

    Args:
        number: A result code, known to this release or not.

    Returns:
        `SUCCESS` if the request succeeded, else the exit code for the
        first digit of the result code.
    """
    try:
        code_info = codes.info_of(codes.ResultCode(number))
    except ValueError:
        return _from_family(number // _FAMILY_SIZE)
    if code_info.http_status < HTTPStatus.BAD_REQUEST:
        return ExitCode.SUCCESS
    return _from_family(number // _FAMILY_SIZE)


def is_configuration_code(number: int) -> bool:
    """Return whether a result code belongs to the configuration (5xxx)."""
    return number // _FAMILY_SIZE == ExitCode.CONFIGURATION


def _from_family(family: int) -> ExitCode:
    if family == _SUCCESS_FAMILY:
        return ExitCode.SUCCESS
    try:
        return ExitCode(family)
    except ValueError:
        return ExitCode.INTERNAL
