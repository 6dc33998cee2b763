"""Implements the `config wait` command."""

from typing import Any, Final

from guavaroadctl import (
    exit_codes,
    instances,
    reports,
    session,
    state_dump,
    tables,
)

_POLL_PERIOD_S: Final = 0.5
_TITLES: Final = ('ADDRESS', 'CONFIG', 'PROBLEM')


async def wait(ctx: session.Session, version: str) -> reports.Result:
    """Wait until every instance serves at least a version.

    Args:
        ctx: Command context.
        version: The version in decimal digits.

    Returns:
        The outcome of the wait, with the version of each instance.
    """
    if not version.isdecimal():
        return reports.usage(f'the version must be a number, not {version!r}')
    target_version = int(version)
    start_s = ctx.timers.now()
    while True:
        records = await instances.fetch_records(ctx)
        behind = [
            record for record in records if not serves(record, target_version)
        ]
        if not behind or not ctx.remaining_s(start_s):
            return to_report(target_version, records, behind)
        await ctx.sleep(_POLL_PERIOD_S)


def serves(record: state_dump.Record, target_version: int) -> bool:
    """Return whether an instance serves at least a version."""
    version = record['config_version']
    return isinstance(version, int) and version >= target_version


def to_report(
    target_version: int,
    records: list[state_dump.Record],
    behind: list[state_dump.Record],
) -> reports.Report:
    """Return the outcome of the wait."""
    count = len(records)
    behind_count = len(behind)
    document = {'version': target_version, 'instances': records}
    if not behind:
        summary = (
            f'all {count} instances serve version {target_version} or later'
        )
        return reports.Report(
            exit_code=exit_codes.ExitCode.SUCCESS,
            document=document,
            lines=(summary,),
        )
    summary = (
        f'{behind_count} of {count} instances do not serve version '
        f'{target_version} yet'
    )
    return reports.Report(
        exit_code=exit_codes.ExitCode.NOT_YET,
        document=document,
        lines=(summary, *tables.render(_TITLES, list(map(to_row, behind)))),
    )


def to_row(record: state_dump.Record) -> list[Any]:
    """Return the table row of an instance that is behind."""
    return [record[key] for key in ('address', 'config_version', 'problem')]
