"""Writes docs/CODES.md from the result codes, or checks that it agrees.

Run as `python tools/codes_page.py`, or with `--check`.
"""

import pathlib
import sys
from typing import Final

from guavaroad.domain import codes
from guavaroadctl import exit_codes

PAGE: Final = pathlib.Path(__file__).resolve().parent.parent / 'docs/CODES.md'
FAMILY_SIZE: Final = 1000
FAMILIES: Final = (
    (1, 'Success', 'The request did what was asked.'),
    (2, 'Refused', 'Nothing was run, and nothing will be.'),
    (3, 'Failed', 'The job ended without a whole answer, after a start.'),
    (4, 'Unknown', 'Tasks may have run; nobody here knows the outcome.'),
    (5, 'Configuration', 'Answers about the configuration and its patches.'),
    (9, 'Internal', 'A fault of the system itself.'),
)
HEAD: Final = """# Result codes

Every answer carries the number and the name of a result code, and `ran`:
whether any task of the submission may have started. `no` is a promise,
`yes` tells of at least one start, `maybe` promises nothing; the `tasks` of an
answer give `ran` for each task. The first digit is the family. Numbers keep
their meaning across releases; a client that meets an unknown number goes by
its family.

This page is written by `make pages` from the code; do not edit it.
"""


def page() -> str:
    """Return the whole page."""
    parts = [HEAD, *(section(*family) for family in FAMILIES), exit_section()]
    return '\n'.join(parts)


def section(digit: int, title: str, meaning: str) -> str:
    """Return the section of one family."""
    rows = [row(code) for code in codes.ResultCode if is_of(code, digit)]
    return '\n'.join(
        (
            f'## {digit}xxx {title}',
            '',
            meaning,
            '',
            '| Code | Name | HTTP | Ran | Meaning | What to do |',
            '| --- | --- | --- | --- | --- | --- |',
            *rows,
            '',
        )
    )


def is_of(code: codes.ResultCode, digit: int) -> bool:
    """Return whether a code is of a family."""
    return code.value // FAMILY_SIZE == digit


def row(code: codes.ResultCode) -> str:
    """Return the table row of one code."""
    facts = codes.info_of(code)
    cells = (
        str(code.value),
        f'`{code.name}`',
        str(facts.http_status),
        facts.ran.value,
        facts.meaning,
        facts.action,
    )
    return table_row(cells)


def exit_section() -> str:
    """Return the section of the exit codes."""
    rows = [
        table_row((str(code.value), meaning))
        for code, meaning in exit_codes.MEANINGS
    ]
    return '\n'.join(
        (
            '## Exit codes of `guavaroadctl`',
            '',
            'The first digit of the result code where the answer is an error,',
            '0 where it is not (HTTP status below 400), and these of its own:',
            '',
            '| Exit | Meaning |',
            '| --- | --- |',
            *rows,
            '',
        )
    )


def table_row(cells: tuple[str, ...]) -> str:
    """Return the cells as a row of a Markdown table."""
    joined = ' | '.join(cells)
    return f'| {joined} |'


def main() -> None:
    """Write the page, or exit with 1 if it does not agree."""
    text = page()
    if '--check' not in sys.argv:
        PAGE.write_text(text)
        return
    if PAGE.read_text() != text:
        sys.exit('docs/CODES.md does not agree with the code: run make pages')


if __name__ == '__main__':
    main()
