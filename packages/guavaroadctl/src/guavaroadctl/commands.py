"""Usage text and dispatch of the `guavaroadctl` commands."""

from typing import Final

from guavaroadctl import (
    config,
    config_wait,
    explain,
    instances,
    reports,
    session,
    submissions,
    submit,
    upstreams,
)

USAGE: Final = """\
guavaroadctl: the command line of guavaroad.

usage: guavaroadctl [flags] command

  submit JOB FILE           submit the tasks of FILE and wait for the answer
  submission show ID        show a submission, and its answer if it ended
  submission cancel ID      cancel the tasks of a submission not yet started
  config show               show the live configuration and its version
  config patch BASE FILE    apply a merge patch to version BASE
  config diff FILE          show what a merge patch would change
  config wait VERSION       wait until every instance serves VERSION
  state [all | ADDRESS]     dump the state of an instance, or of all
  instances                 list the instances
  upstreams                 list the upstreams
  explain ID LOG...         explain the outcome of a request from log files

FILE may be - for standard input.  Tasks are a JSON array of payloads, or
one JSON value per line; a patch is a JSON object as in RFC 7396.

flags:
"""


async def dispatch(
    ctx: session.Session, arguments: list[str]
) -> reports.Result:
    """Run one command.

    Args:
        ctx: Command context.
        arguments: Positional command-line arguments.

    Returns:
        The report of the command, or the reason why it failed.
    """
    match arguments:
        case ['submit', job, path]:
            return await submit.run(ctx, job, path)
        case ['submission', 'show', submission_id]:
            return await submissions.show(ctx, submission_id)
        case ['submission', 'cancel', submission_id]:
            return await submissions.cancel(ctx, submission_id)
        case ['config', *rest]:
            return await dispatch_config(ctx, rest)
    return await dispatch_inspection(ctx, arguments)


async def dispatch_config(
    ctx: session.Session, arguments: list[str]
) -> reports.Result:
    """Run a `config` command."""
    match arguments:
        case ['show']:
            return await config.show(ctx)
        case ['patch', base, path]:
            return await config.patch(ctx, base, path)
        case ['diff', path]:
            return await config.diff(ctx, path)
        case ['wait', version]:
            return await config_wait.wait(ctx, version)
    return unknown_command(['config', *arguments])


async def dispatch_inspection(
    ctx: session.Session, arguments: list[str]
) -> reports.Result:
    """Run a command that shows state, instances or upstreams."""
    match arguments:
        case ['state']:
            return await instances.show_state(ctx)
        case ['state', 'all']:
            return await instances.show_state_of_all(ctx)
        case ['state', address]:
            return await instances.show_state_of(ctx, address)
        case ['instances']:
            return await instances.show_table(ctx)
        case ['upstreams']:
            return await upstreams.show_table(ctx)
    return dispatch_logs(arguments)


def dispatch_logs(arguments: list[str]) -> reports.Result:
    """Run a command that only reads log files."""
    match arguments:
        case ['explain', job_id, *paths] if paths:
            return explain.run(job_id, paths)
    return unknown_command(arguments)


def unknown_command(arguments: list[str]) -> reports.Problem:
    """Return the usage error for unrecognized arguments."""
    if not arguments:
        return reports.usage('no command given; see --help')
    given = ' '.join(arguments)
    return reports.usage(f'no such command: {given}; see --help')
