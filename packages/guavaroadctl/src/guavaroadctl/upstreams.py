"""Implements the `upstreams` command.

The table merges the upstream records of all instances.
"""

import collections
from collections.abc import Iterable
from typing import Any, Final

from guavaroadctl import (
    instance_query,
    instances,
    reports,
    session,
    state_dump,
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


async def show_table(ctx: session.Session) -> reports.Result:
    """Show a table of every upstream.

    Args:
        ctx: Command context.

    Returns:
        One row per upstream; running tasks are summed over instances.
    """
    views = await instance_query.query_all(ctx)
    records = [
        record for view in views for record in upstream_records(view.state)
    ]
    merged = merge(records)
    titles = [title for _, title in _COLUMNS]
    return reports.Report(
        exit_code=instances.exit_code_of(views),
        document=merged,
        lines=tables.render(titles, list(map(to_row, merged))),
    )


def to_row(record: state_dump.Record) -> list[Any]:
    """Return the table row of one upstream."""
    return [record.get(key) for key, _ in _COLUMNS]


def upstream_records(state: Any) -> list[state_dump.Record]:
    """Return the upstream records of a state dump."""
    section = state_dump.value_at(state, 'upstreams', 'dispatch.slots')
    return state_dump.entries(section)


def merge(records: Iterable[state_dump.Record]) -> list[dict[str, Any]]:
    """Merge the upstream records of several instances.

    Args:
        records: Records in any order.

    Returns:
        One record per upstream, sorted by name.
    """
    by_name: dict[str, list[state_dump.Record]] = {}
    for record in records:
        by_name.setdefault(str(record.get('name')), []).append(record)
    return [merge_records(by_name[name]) for name in sorted(by_name)]


def merge_records(records: list[state_dump.Record]) -> state_dump.Record:
    """Merge the records of one upstream.

    Args:
        records: One record per instance.

    Returns:
        The first non-empty value of each key; running tasks are summed, and
        differing states are listed with their number of instances.
    """
    merged: state_dump.Record = {}
    for record in records:
        present = {key: entry for key, entry in record.items() if entry}
        merged = present | merged
    running = [row.get('running') for row in records]
    merged['running'] = sum(filter(None, running))
    merged['state'] = summarize_states(records)
    return merged


def summarize_states(records: list[state_dump.Record]) -> str:
    """Return the common state, or each state with its instance count."""
    counts = collections.Counter(
        str(record['state']) for record in records if record.get('state')
    )
    if len(counts) == 1:
        return next(iter(counts))
    ordered = sorted(counts.items())
    return ', '.join(f'{state} by {count}' for state, count in ordered)
