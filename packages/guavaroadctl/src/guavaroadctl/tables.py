"""Renders plain-text tables."""

from collections.abc import Sequence
from typing import Any, Final

_COLUMN_SEPARATOR: Final = '  '
MISSING: Final = '-'


def render(
    titles: Sequence[str], rows: Sequence[Sequence[Any]]
) -> tuple[str, ...]:
    """Return the lines of a table.

    Args:
        titles: Title of each column.
        rows: Rows with one value per column; None and empty strings are
            rendered as a dash.

    Returns:
        The title line and one line per row.
    """
    cells = [list(titles)]
    cells.extend([_cell(entry) for entry in row] for row in rows)
    columns = zip(*cells, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return tuple(_line(row, widths) for row in cells)


def _cell(entry: Any) -> str:
    match entry:
        case None | '':
            return MISSING
        case bool():
            return 'yes' if entry else 'no'
        case float():
            return f'{entry:.1f}'
    return str(entry)


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = map(str.ljust, row, widths)
    return _COLUMN_SEPARATOR.join(cells).rstrip()
