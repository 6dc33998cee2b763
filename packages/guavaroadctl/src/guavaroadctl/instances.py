"""Implements the `state` and `instances` commands."""

import json
from typing import Any, Final

from guavaroadctl import (
    endpoints,
    exit_codes,
    instance_query,
    replies,
    reports,
    session,
    state_dump,
    tables,
)

_TITLES: Final = (
    'ADDRESS',
    'ZONE',
    'READY',
    'CONFIG',
    'QUEUED',
    'EPOCH',
    'PROBLEM',
)
_INDENT: Final = 2


async def show_state(ctx: session.Session) -> reports.Result:
    """Show the state of the first instance that answers."""
    page = replies.decode_page(await ctx.client.send(instance_query.STATE))
    match page:
        case reports.Problem():
            return page
        case replies.DecodedAnswer():
            return reports.Problem(
                exit_code=page.exit_code(), message=page.answer.detail
            )
    return dump_report(page)


async def show_state_of(ctx: session.Session, address: str) -> reports.Result:
    """Show the state of one instance.

    Args:
        ctx: Command context.
        address: Client address of the instance.

    Returns:
        The state dump, or the reason for the failure.
    """
    target = endpoints.parse(address)
    if target is None:
        return reports.usage(f'{address!r} is not ip:port')
    view = await instance_query.query(ctx, target)
    if view.problem:
        return unreached_problem(view)
    return dump_report(view.state)


async def show_state_of_all(ctx: session.Session) -> reports.Result:
    """Show the state of every instance, sorted by address."""
    views = await instance_query.query_all(ctx)
    return dump_report(
        {
            view.endpoint.address: view.state or {'problem': view.problem}
            for view in views
        },
        exit_code=exit_code_of(views),
    )


async def show_table(ctx: session.Session) -> reports.Result:
    """Show a table of every instance."""
    views = await instance_query.query_all(ctx)
    return reports.Report(
        exit_code=exit_code_of(views),
        document=[to_record(view) for view in views],
        lines=tables.render(
            _TITLES, [tuple(to_record(view).values()) for view in views]
        ),
    )


async def fetch_records(ctx: session.Session) -> list[state_dump.Record]:
    """Return one record per instance, sorted by address."""
    views = await instance_query.query_all(ctx)
    return [to_record(view) for view in views]


def to_record(view: instance_query.InstanceView) -> state_dump.Record:
    """Return the record of one instance for the table."""
    value_at = state_dump.value_at
    state = view.state
    return {
        'address': view.endpoint.address,
        'availability_zone': value_at(
            state, 'instance.availability_zone', 'availability_zone'
        ),
        'ready': view.ready,
        'config_version': value_at(
            state, 'configuration.version', 'config_version'
        ),
        'queued_tasks': value_at(
            state, 'queues.queued_tasks', 'dispatch.queued_tasks'
        ),
        'epoch': value_at(state, 'instance.epoch', 'epoch'),
        'problem': view.problem or value_at(state, 'instance.why_not_ready'),
    }


def exit_code_of(
    views: list[instance_query.InstanceView],
) -> exit_codes.ExitCode:
    """Return `SUCCESS` if any instance returned its state."""
    if any(not view.problem for view in views):
        return exit_codes.ExitCode.SUCCESS
    return exit_codes.ExitCode.UNREACHED


def unreached_problem(view: instance_query.InstanceView) -> reports.Problem:
    """Return the problem of an instance that returned no state."""
    address = view.endpoint.address
    return reports.Problem(
        exit_code=exit_codes.ExitCode.UNREACHED,
        message=f'{address}: {view.problem}',
    )


def dump_report(
    page: Any,
    exit_code: exit_codes.ExitCode = exit_codes.ExitCode.SUCCESS,
) -> reports.Report:
    """Return a report that is JSON in both output formats."""
    text = json.dumps(page, indent=_INDENT)
    return reports.Report(
        exit_code=exit_code, document=page, lines=tuple(text.splitlines())
    )
