"""Entry point of the `guavaroadctl` program."""

import asyncio
import os
import sys
from typing import Any

import msgspec
from twisted.internet import asyncioreactor, defer
from twisted.internet import main as reactor_main

from guavaroad.adapters import command_flags, reactor_timers
from guavaroadctl import (
    __version__,
    commands,
    exit_codes,
    failover_client,
    options,
    reports,
    session,
)


class Runner:
    """Runs one command under the reactor.

    Attributes:
        result: Result of the command; None if a signal ended it.
        is_shutting_down: Whether the reactor is shutting down.
    """

    def __init__(
        self, *, cli_options: options.Options, arguments: list[str]
    ) -> None:
        self.options = cli_options
        self.arguments = arguments
        self.result: reports.Result | None = None
        self.is_shutting_down = False

    def run(self) -> reports.Result:
        """Run the reactor until the command ends and return its result."""
        reactor: Any = asyncioreactor.AsyncioSelectorReactor(
            asyncio.new_event_loop()
        )
        reactor_main.installReactor(reactor)
        reactor.callWhenRunning(self.start, reactor)
        reactor.run()
        return self.result or reports.Problem(
            exit_code=exit_codes.ExitCode.INTERRUPTED, message='interrupted'
        )

    def start(self, reactor: Any) -> None:
        """Start the command; the reactor stops when it ends."""
        reactor.addSystemEventTrigger('before', 'shutdown', self.on_shutdown)
        pending = defer.ensureDeferred(self.execute(reactor))
        pending.addErrback(internal_error)
        pending.addCallback(self.finish, reactor)

    async def execute(self, reactor: Any) -> reports.Result:
        """Run the command."""
        cli_options = self.options
        client = failover_client.FailoverClient(
            reactor=reactor,
            targets=cli_options.endpoints,
            token=cli_options.token,
            timeout_s=cli_options.request_timeout_s,
            trust=cli_options.trust,
        )
        ctx = session.Session(
            client=client,
            timers=reactor_timers.ReactorTimers(clock=reactor),
            options=cli_options,
        )
        return await commands.dispatch(ctx, self.arguments)

    def on_shutdown(self) -> None:
        """Ignore later results: the shutdown closes open connections."""
        self.is_shutting_down = True

    def finish(self, result: reports.Result, reactor: Any) -> None:
        """Store the result and stop the reactor."""
        is_awaited = reactor.running and not self.is_shutting_down
        if is_awaited and self.result is None:
            self.result = result
            reactor.stop()


def internal_error(failure: Any) -> reports.Problem:
    """Return the problem for an unhandled exception."""
    kind = failure.type.__name__
    return reports.Problem(
        exit_code=exit_codes.ExitCode.INTERNAL,
        message=f'internal error: {kind}: {failure.getErrorMessage()}',
    )


def print_result(result: reports.Result, output: options.Output) -> int:
    """Print a result.

    Args:
        result: Result of a command.
        output: Output format.

    Returns:
        The exit code.
    """
    match result:
        case reports.Problem():
            session.print_notice(result.message)
        case reports.Report() if output is options.Output.JSON:
            text = msgspec.json.encode(result.document)
            print_text(msgspec.json.format(text, indent=2).decode())
        case reports.Report():
            print_text('\n'.join(result.lines))
    return result.exit_code.value


def print_text(text: str) -> None:
    """Write a text to standard output, ignoring a closed pipe."""
    try:
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()
    except BrokenPipeError:
        # Prevents a second BrokenPipeError in the flush at exit.
        devnull = os.open(os.devnull, os.O_WRONLY)
        os.dup2(devnull, sys.stdout.fileno())


def main(argv: list[str]) -> int:
    """Run one command.

    Args:
        argv: Program name, positional arguments and flags.

    Returns:
        The exit code.
    """
    arguments = command_flags.read(
        argv,
        program='guavaroadctl',
        usage=commands.USAGE,
        module=options.__name__,
    )
    if options.wants_version():
        print_text(f'guavaroadctl {__version__}')
        return 0
    cli_options = options.read_options()
    match cli_options:
        case reports.Problem():
            return print_result(cli_options, options.Output.TEXT)
    return print_result(
        Runner(cli_options=cli_options, arguments=arguments).run(),
        cli_options.output,
    )


def run() -> None:
    """Run the console script."""
    try:
        sys.exit(main(sys.argv))
    except KeyboardInterrupt:
        session.print_notice('interrupted')
        sys.exit(exit_codes.ExitCode.INTERRUPTED.value)


if __name__ == '__main__':
    run()
