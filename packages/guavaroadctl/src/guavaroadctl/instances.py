"""Shows the state of one or all instances, and the table of them."""

import json
from typing import Any, Final

from guavaroadctl import (
    endpoints,
    exit_codes,
    replies,
    reports,
    session,
    state_reading,
    survey,
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


async def state(means: session.Session) -> reports.Result:
    """Show the state of the first instance that answers."""
    page = replies.read_page(await means.link.ask(survey.STATE))
    match page:
        case reports.Problem():
            return page
        case replies.Body():
            return reports.Problem(
                exit_code=page.exit_code(), message=page.answer.detail
            )
    return dump(page)


async def state_of(means: session.Session, address: str) -> reports.Result:
    """Show the state of one instance.

    Args:
        means: What commands work with.
        address: Its client address.

    Returns:
        The dump, or why there is none.
    """
    target = endpoints.parse(address)
    if target is None:
        return reports.usage(f'{address!r} is not ip:port')
    view = await survey.look(means, target)
    if view.problem:
        return unreached(view)
    return dump(view.state)


async def state_of_all(means: session.Session) -> reports.Result:
    """Show the state of every instance, by address."""
    views = await survey.every_instance(means)
    return dump(
        {
            view.endpoint.address: view.state or {'problem': view.problem}
            for view in views
        },
        exit_code=exit_of(views),
    )


async def listing(means: session.Session) -> reports.Result:
    """Show a table of every instance."""
    views = await survey.every_instance(means)
    return reports.Report(
        exit_code=exit_of(views),
        document=[record(view) for view in views],
        lines=tables.render(
            _TITLES, [tuple(record(view).values()) for view in views]
        ),
    )


async def records(means: session.Session) -> list[state_reading.Record]:
    """Return one row for each instance, by address."""
    views = await survey.every_instance(means)
    return [record(view) for view in views]


def record(view: survey.View) -> state_reading.Record:
    """Return one row of the table of instances."""
    read = state_reading.value_at
    shown = view.state
    return {
        'address': view.endpoint.address,
        'availability_zone': read(
            shown, 'instance.availability_zone', 'availability_zone'
        ),
        'ready': view.ready,
        'config_version': read(
            shown, 'configuration.version', 'config_version'
        ),
        'queued_tasks': read(
            shown, 'queues.queued_tasks', 'queues.tasks', 'queued_tasks'
        ),
        'epoch': read(shown, 'instance.epoch', 'epoch'),
        'problem': view.problem,
    }


def exit_of(views: list[survey.View]) -> exit_codes.ExitCode:
    """Return success if any instance showed its state."""
    if any(not view.problem for view in views):
        return exit_codes.ExitCode.SUCCESS
    return exit_codes.ExitCode.UNREACHED


def unreached(view: survey.View) -> reports.Problem:
    """Return that an instance showed nothing."""
    address = view.endpoint.address
    return reports.Problem(
        exit_code=exit_codes.ExitCode.UNREACHED,
        message=f'{address}: {view.problem}',
    )


def dump(
    page: Any,
    exit_code: exit_codes.ExitCode = exit_codes.ExitCode.SUCCESS,
) -> reports.Report:
    """Return a dump, the same in both forms."""
    text = json.dumps(page, indent=_INDENT)
    return reports.Report(
        exit_code=exit_code, document=page, lines=tuple(text.splitlines())
    )
