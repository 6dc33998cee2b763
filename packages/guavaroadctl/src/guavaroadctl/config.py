"""Shows, patches and compares the configuration."""

import dataclasses
from typing import Any

import msgspec

from guavaroad.domain import codes
from guavaroad.domain.configuration import document, merge_patch
from guavaroadctl import (
    answer_text,
    connection,
    differences,
    exit_codes,
    replies,
    reports,
    session,
    sources,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Live:
    """The configuration that an instance serves."""

    version: int
    document: dict[str, Any]
    raw: Any


async def fetch(means: session.Session) -> Live | reports.Result:
    """Return the live configuration, or why there is none."""
    answered = await means.link.ask(
        connection.Request(method='GET', path='/v1/config')
    )
    body = replies.read(answered)
    match body:
        case reports.Problem():
            return body
    if body.answer.code != codes.ResultCode.CONFIGURATION:
        return answer_text.report(body)
    return Live(
        version=int(body.extra('version') or 0),
        document=body.extra('document') or {},
        raw=body.raw,
    )


async def show(means: session.Session) -> reports.Result:
    """Show the live configuration and its version."""
    live = await fetch(means)
    match live:
        case Live():
            text = msgspec.json.encode(live.document)
            pretty = msgspec.json.format(text, indent=2).decode()
            return reports.Report(
                exit_code=exit_codes.ExitCode.SUCCESS,
                document=live.raw,
                lines=(f'version {live.version}', *pretty.splitlines()),
            )
    return live


async def patch(means: session.Session, base: str, path: str) -> reports.Result:
    """Patch the configuration.

    Args:
        means: What commands work with.
        base: Version that the operator saw.
        path: File with a merge patch, or `-`.

    Returns:
        Whether it was accepted, and the live version.
    """
    change = sources.patch(path)
    match change:
        case reports.Problem():
            return change
    if not base.isdecimal():
        return reports.usage(f'the base must be a version, not {base!r}')
    answered = await means.link.ask(
        connection.Request(
            method='PATCH',
            path='/v1/config',
            body=msgspec.json.encode(change),
            headers={
                'If-Match': base,
                'Content-Type': 'application/merge-patch+json',
            },
            repeatable=False,
            timeout_s=means.options.timeout_s,
        )
    )
    body = replies.read(answered)
    match body:
        case replies.Body():
            return answer_text.report(body)
    return body


async def diff(means: session.Session, path: str) -> reports.Result:
    """Show what a patch would change in the live configuration.

    Args:
        means: What commands work with.
        path: File with a merge patch, or `-`.

    Returns:
        The base to patch and one line a change, or what is not valid.
    """
    change = sources.patch(path)
    match change:
        case reports.Problem():
            return change
    live = await fetch(means)
    match live:
        case Live():
            return compare(live, change)
    return live


def compare(live: Live, change: dict[str, Any]) -> reports.Report:
    """Return what a patch would change, and whether it would be valid."""
    merged = merge_patch.apply_patch(live.document, change)
    found = differences.between(live.document, merged)
    checked = document.check_document(merged)
    match checked:
        case document.Invalid():
            problems = checked.problems
        case _:
            problems = ()
    changes = [differences.line(one) for one in found]
    return reports.Report(
        exit_code=_exit_of(problems),
        document={
            'base': live.version,
            'changes': [_tagged(one) for one in found],
            'problems': problems,
        },
        lines=(
            f'base version {live.version}',
            *(changes or ['no change']),
            *(f'not valid: {problem}' for problem in problems),
        ),
    )


def _exit_of(problems: tuple[str, ...]) -> exit_codes.ExitCode:
    if problems:
        return exit_codes.ExitCode.CONFIGURATION
    return exit_codes.ExitCode.SUCCESS


def _tagged(difference: differences.Difference) -> dict[str, Any]:
    kind = type(difference).__name__.lower()
    return {'kind': kind} | dataclasses.asdict(difference)
