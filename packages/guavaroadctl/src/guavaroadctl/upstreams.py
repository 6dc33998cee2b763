"""Shows the table of upstreams, as the instances see them together."""

from collections.abc import Iterable
from typing import Any, Final

from guavaroadctl import (
    instances,
    reports,
    session,
    state_reading,
    survey,
    tables,
)

_COLUMNS: Final = (
    ('name', 'NAME'),
    ('availability_zone', 'ZONE'),
    ('address', 'ADDRESS'),
    ('slots', 'SLOTS'),
    ('running', 'RUNNING'),
    ('state', 'STATE'),
    ('reason', 'REASON'),
)
_SUMMED: Final = frozenset(('running', 'held'))


async def listing(means: session.Session) -> reports.Result:
    """Show a table of every upstream.

    Args:
        means: What commands work with.

    Returns:
        One row an upstream; running tasks are summed over instances.
    """
    views = await survey.every_instance(means)
    records = [one for view in views for one in records_of(view.state)]
    merged = merge(records)
    titles = [title for _, title in _COLUMNS]
    return reports.Report(
        exit_code=instances.exit_of(views),
        document=merged,
        lines=tables.render(titles, list(map(row_of, merged))),
    )


def row_of(record: state_reading.Record) -> list[Any]:
    """Return the cells of one upstream."""
    return [record.get(key) for key, _ in _COLUMNS]


def records_of(state: Any) -> list[state_reading.Record]:
    """Return the upstreams of one dump."""
    section = state_reading.value_at(state, 'upstreams')
    listed = state_reading.value_at(section, 'list', 'upstreams')
    return state_reading.entries(listed or section)


def merge(
    records: Iterable[state_reading.Record],
) -> list[state_reading.Record]:
    """Merge what several instances say of the same upstreams.

    Args:
        records: Records in any order.

    Returns:
        One record an upstream, by name.
    """
    merged: dict[str, state_reading.Record] = {}
    for record in records:
        known = merged.setdefault(str(record.get('name')), {})
        _add(known, record)
    return [merged[name] for name in sorted(merged)]


def _add(known: state_reading.Record, record: state_reading.Record) -> None:
    for key, entry in record.items():
        if key in _SUMMED and isinstance(entry, int):
            known[key] = known.get(key, 0) + entry
        elif entry or key not in known:
            known[key] = entry
