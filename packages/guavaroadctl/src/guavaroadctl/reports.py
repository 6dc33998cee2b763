"""Results of commands: a report to print, or a problem."""

import dataclasses
from typing import Any

from guavaroadctl import exit_codes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Output of a command in both formats.

    Attributes:
        exit_code: Exit code of the program.
        document: Value to print as JSON.
        lines: Lines to print as text.
    """

    exit_code: exit_codes.ExitCode
    document: Any
    lines: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Failure of a command without output.

    Attributes:
        exit_code: Exit code of the program.
        message: Error message.
    """

    exit_code: exit_codes.ExitCode
    message: str


Result = Report | Problem


def usage(message: str) -> Problem:
    """Return a usage error: an invalid argument, flag or file."""
    return Problem(exit_code=exit_codes.ExitCode.USAGE, message=message)
