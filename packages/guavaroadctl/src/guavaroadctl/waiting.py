"""Waits until every instance serves a version of the configuration."""

from typing import Any, Final

from guavaroadctl import (
    exit_codes,
    instances,
    reports,
    session,
    state_reading,
    tables,
)

_PERIOD_S: Final = 0.5
_TITLES: Final = ('ADDRESS', 'CONFIG', 'PROBLEM')


async def wait(means: session.Session, version: str) -> reports.Result:
    """Wait until every instance serves at least a version.

    Args:
        means: What commands work with.
        version: The version in decimal digits.

    Returns:
        What each instance serves; not yet, if the wait ran out.
    """
    if not version.isdecimal():
        return reports.usage(f'the version must be a number, not {version!r}')
    wanted = int(version)
    began_s = means.timers.now()
    while True:
        records = await instances.records(means)
        behind = [one for one in records if not serves(one, wanted)]
        if not behind or not means.remaining_s(began_s):
            return conclude(wanted, records, behind)
        await means.pause(_PERIOD_S)


def serves(record: state_reading.Record, wanted: int) -> bool:
    """Return whether an instance serves the version or a later one."""
    version = record['config_version']
    return isinstance(version, int) and version >= wanted


def conclude(
    wanted: int,
    records: list[state_reading.Record],
    behind: list[state_reading.Record],
) -> reports.Report:
    """Return how the wait ended."""
    count = len(records)
    late = len(behind)
    document = {'version': wanted, 'instances': records}
    if not behind:
        said = f'all {count} instances serve version {wanted} or later'
        return reports.Report(
            exit_code=exit_codes.ExitCode.SUCCESS,
            document=document,
            lines=(said,),
        )
    said = f'{late} of {count} instances do not serve version {wanted} yet'
    return reports.Report(
        exit_code=exit_codes.ExitCode.NOT_YET,
        document=document,
        lines=(said, *tables.render(_TITLES, list(map(row_of, behind)))),
    )


def row_of(record: state_reading.Record) -> list[Any]:
    """Return the cells of an instance that is behind."""
    return [record[key] for key in ('address', 'config_version', 'problem')]
