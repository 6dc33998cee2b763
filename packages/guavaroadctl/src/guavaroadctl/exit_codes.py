"""Exit codes: the first digit of the result code, and the program's own."""

import enum
from http import HTTPStatus
from typing import Final

from guavaroad.domain import codes

_FAMILY_SIZE: Final = 1000
_SUCCESS_FAMILY: Final = 1


class ExitCode(enum.IntEnum):
    """How the program ended."""

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
    (ExitCode.SUCCESS, 'The request did what was asked.'),
    (ExitCode.USAGE, 'A word, flag or file is wrong; nothing was sent.'),
    (ExitCode.REFUSED, 'Refused, and nothing was run (2xxx).'),
    (ExitCode.FAILED, 'The job failed after a start (3xxx).'),
    (
        ExitCode.UNKNOWN,
        'The outcome is unknown (4xxx), or the line broke after sending.',
    ),
    (ExitCode.CONFIGURATION, 'The patch was not accepted (5xxx).'),
    (ExitCode.UNREACHED, 'No instance took a connection; nothing was sent.'),
    (ExitCode.NOT_YET, 'A wait ended before its condition came true.'),
    (ExitCode.INTERNAL, 'An internal error, here or there (9xxx).'),
    (ExitCode.INTERRUPTED, 'Interrupted by a signal.'),
)


def of_result(number: int) -> ExitCode:
    """Return the exit code for a result code.

    Args:
        number: Number of a result code, also of a newer release.

    Returns:
        Success if the request did what was asked, else its family.
    """
    try:
        facts = codes.info_of(codes.ResultCode(number))
    except ValueError:
        return _of_family(number // _FAMILY_SIZE)
    if facts.http_status < HTTPStatus.BAD_REQUEST:
        return ExitCode.SUCCESS
    return _of_family(number // _FAMILY_SIZE)


def is_of_configuration(number: int) -> bool:
    """Return whether a result code is about the configuration."""
    return number // _FAMILY_SIZE == ExitCode.CONFIGURATION


def _of_family(family: int) -> ExitCode:
    if family == _SUCCESS_FAMILY:
        return ExitCode.SUCCESS
    try:
        return ExitCode(family)
    except ValueError:
        return ExitCode.INTERNAL
