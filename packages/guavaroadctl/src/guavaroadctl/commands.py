"""The commands of `guavaroadctl`."""

import pathlib
import sys
from typing import Any

import msgspec

from guavaroad.adapters import http_client
from guavaroadctl import connection


class UsageError(Exception):
    """The words of the command line do not make a command."""


def read_source(source: str) -> bytes:
    """Read a file, or standard input for `-`."""
    if source == '-':
        return sys.stdin.buffer.read()
    return pathlib.Path(source).read_bytes()


async def dispatch(
    link: connection.Connection, words: list[str]
) -> http_client.Exchange:
    """Run one command.

    Args:
        link: Connection to the instances.
        words: Words after the flags.

    Returns:
        The exchange that answers the command.

    Raises:
        UsageError: If the words are no command.
    """
    match words:
        case ['submit', job, source]:
            return await submit(link, job, source)
        case ['config', 'show']:
            return await link.ask('GET', '/v1/config')
        case ['config', 'patch', base, source]:
            return await link.ask(
                'PATCH',
                '/v1/config',
                body=read_source(source),
                headers={'If-Match': base},
            )
        case ['state']:
            return await link.ask('GET', '/v1/state')
    given = ' '.join(words)
    raise UsageError(f'no such command: {given}')


async def submit(
    link: connection.Connection, job: str, source: str
) -> http_client.Exchange:
    """Submit the tasks of a file: a JSON array of payloads."""
    payloads: list[Any] = msgspec.json.decode(read_source(source))
    body = {'tasks': [{'payload': payload} for payload in payloads]}
    return await link.ask(
        'POST',
        f'/v1/jobs/{job}/submissions',
        body=msgspec.json.encode(body),
    )
