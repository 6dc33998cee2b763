"""Plain tables for a terminal."""

from collections.abc import Sequence
from typing import Any, Final

_GAP: Final = '  '
MISSING: Final = '-'


def render(
    titles: Sequence[str], rows: Sequence[Sequence[Any]]
) -> tuple[str, ...]:
    """Return the lines of a table.

    Args:
        titles: Title of each column.
        rows: One value a column; none is shown as a dash.

    Returns:
        The title line and one line a row.
    """
    shown = [list(titles)]
    shown.extend([_cell(entry) for entry in row] for row in rows)
    columns = zip(*shown, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return tuple(_line(row, widths) for row in shown)


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
    return _GAP.join(cells).rstrip()
