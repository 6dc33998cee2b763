"""What a command gives back: a report to print, or a problem."""

import dataclasses
from typing import Any

from guavaroadctl import exit_codes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What a command found, in both forms.

    Attributes:
        exit_code: How the program ends.
        document: Value that is printed as JSON.
        lines: Lines that are printed as text.
    """

    exit_code: exit_codes.ExitCode
    document: Any
    lines: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Why a command gave nothing.

    Attributes:
        exit_code: How the program ends.
        message: One sentence.
    """

    exit_code: exit_codes.ExitCode
    message: str


Result = Report | Problem


def usage(message: str) -> Problem:
    """Return a problem of words, flags or files."""
    return Problem(exit_code=exit_codes.ExitCode.USAGE, message=message)
