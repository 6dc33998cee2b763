"""Shows the table of upstreams, as the instances see them together."""

import collections
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
    section = state_reading.value_at(state, 'upstreams', 'dispatch.slots')
    return state_reading.entries(section)


def merge(records: Iterable[state_reading.Record]) -> list[dict[str, Any]]:
    """Merge what several instances say of the same upstreams.

    Args:
        records: Records in any order.

    Returns:
        One record an upstream, by name.
    """
    by_name: dict[str, list[state_reading.Record]] = {}
    for record in records:
        by_name.setdefault(str(record.get('name')), []).append(record)
    return [merge_one(by_name[name]) for name in sorted(by_name)]


def merge_one(records: list[state_reading.Record]) -> state_reading.Record:
    """Merge what several instances say of one upstream.

    Args:
        records: One record an instance.

    Returns:
        The values of the first that has them, running tasks summed, and
        every state with how many instances see it, where they differ.
    """
    merged: state_reading.Record = {}
    for record in records:
        told = {key: entry for key, entry in record.items() if entry}
        merged = told | merged
    running = [one.get('running') for one in records]
    merged['running'] = sum(filter(None, running))
    merged['state'] = states_of(records)
    return merged


def states_of(records: list[state_reading.Record]) -> str:
    """Return the state, or each state with its number of instances."""
    counts = collections.Counter(
        str(record['state']) for record in records if record.get('state')
    )
    if len(counts) == 1:
        return next(iter(counts))
    ordered = sorted(counts.items())
    return ', '.join(f'{state} by {count}' for state, count in ordered)
