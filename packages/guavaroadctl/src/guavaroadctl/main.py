"""The `guavaroadctl` binary."""

import sys
from collections.abc import Sequence
from typing import Any, Final

import msgspec
from absl import app, flags
from twisted.internet import defer, task

from guavaroad.adapters import http_client
from guavaroadctl import commands, connection

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHED: Final = 4
_DEFAULT_TIMEOUT_S: Final = 120.0
_FIRST_ERROR_STATUS: Final = 400

_ADDRESSES = flags.DEFINE_list(
    'address', ['127.0.0.1:8080'], 'Instances to try, in order.'
)
_TOKEN = flags.DEFINE_string('token', '', 'Bearer token.')
_TIMEOUT = flags.DEFINE_float(
    'timeout_s', _DEFAULT_TIMEOUT_S, 'Longest wait for an answer.'
)


def main(argv: Sequence[str]) -> None:
    """Run one command and exit with its code."""
    task.react(run_command, [list(argv[1:])])


def run_command(reactor: Any, words: list[str]) -> 'defer.Deferred[None]':
    """Run a command under the reactor."""
    return defer.ensureDeferred(execute(reactor, words))


async def execute(reactor: Any, words: list[str]) -> None:
    """Run a command, print its answer and exit."""
    target = connection.Target(
        addresses=tuple(_ADDRESSES.value),
        token=_TOKEN.value,
        timeout_s=_TIMEOUT.value,
    )
    link = connection.Connection(reactor=reactor, target=target)
    try:
        exchange = await commands.dispatch(link, words)
    except commands.UsageError as broken:
        sys.stderr.write(f'guavaroadctl: {broken}\n')
        sys.exit(EXIT_USAGE)
    sys.exit(show(exchange))


def show(exchange: http_client.Exchange) -> int:
    """Print an exchange.

    Args:
        exchange: What came of the command.

    Returns:
        The exit code.
    """
    match exchange:
        case http_client.Reply():
            text = msgspec.json.format(exchange.body, indent=2)
            sys.stdout.write(text.decode())
            sys.stdout.write('\n')
            failed = exchange.status >= _FIRST_ERROR_STATUS
            return EXIT_FAILED if failed else 0
    sys.stderr.write(f'guavaroadctl: no answer: {exchange.detail}\n')
    return EXIT_UNREACHED


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


if __name__ == '__main__':
    run()
