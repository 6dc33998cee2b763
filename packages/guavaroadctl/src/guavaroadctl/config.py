"""Implements the `config show`, `patch` and `diff` commands."""

import dataclasses
from typing import Any

import msgspec

from guavaroad.domain import codes
from guavaroad.domain.configuration import document, merge_patch
from guavaroadctl import (
    answer_text,
    differences,
    exit_codes,
    failover_client,
    replies,
    reports,
    session,
    sources,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LiveConfig:
    """The configuration that an instance serves.

    Attributes:
        version: Version of the configuration.
        document: The configuration itself.
        raw: The whole answer as decoded JSON.
    """

    version: int
    document: dict[str, Any]
    raw: Any


async def fetch(ctx: session.Session) -> LiveConfig | reports.Result:
    """Return the live configuration, or the reason for the failure."""
    response = await ctx.client.send(
        failover_client.Request(method='GET', path='/v1/config')
    )
    decoded = replies.decode(response)
    match decoded:
        case reports.Problem():
            return decoded
    if decoded.answer.code != codes.ResultCode.CONFIGURATION:
        return answer_text.report(decoded)
    return LiveConfig(
        version=int(decoded.extra('version') or 0),
        document=decoded.extra('document') or {},
        raw=decoded.raw,
    )


async def show(ctx: session.Session) -> reports.Result:
    """Show the live configuration and its version."""
    live = await fetch(ctx)
    match live:
        case LiveConfig():
            text = msgspec.json.encode(live.document)
            pretty = msgspec.json.format(text, indent=2).decode()
            return reports.Report(
                exit_code=exit_codes.ExitCode.SUCCESS,
                document=live.raw,
                lines=(f'version {live.version}', *pretty.splitlines()),
            )
    return live


async def patch(ctx: session.Session, base: str, path: str) -> reports.Result:
    """Patch the configuration.

    Args:
        ctx: Command context.
        base: Version that the patch is based on.
        path: File with a merge patch, or `-` for standard input.

    Returns:
        The answer of the instance, or the reason for the failure.
    """
    change = sources.read_patch(path)
    match change:
        case reports.Problem():
            return change
    if not base.isdecimal():
        return reports.usage(f'the base must be a version, not {base!r}')
    response = await ctx.client.send(
        failover_client.Request(
            method='PATCH',
            path='/v1/config',
            body=msgspec.json.encode(change),
            headers={
                'If-Match': base,
                'Content-Type': 'application/merge-patch+json',
            },
            is_idempotent=False,
            timeout_s=ctx.options.timeout_s,
        )
    )
    answer = replies.decode(response)
    match answer:
        case replies.DecodedAnswer():
            return answer_text.report(answer)
    return answer


async def diff(ctx: session.Session, path: str) -> reports.Result:
    """Show what a patch would change in the live configuration.

    Args:
        ctx: Command context.
        path: File with a merge patch, or `-` for standard input.

    Returns:
        The base version, one line per change and the validation errors.
    """
    change = sources.read_patch(path)
    match change:
        case reports.Problem():
            return change
    live = await fetch(ctx)
    match live:
        case LiveConfig():
            return compare(live, change)
    return live


def compare(live: LiveConfig, change: dict[str, Any]) -> reports.Report:
    """Return the changes of a patch and its validation errors."""
    merged = merge_patch.apply_patch(live.document, change)
    changes = differences.between(live.document, merged)
    validation = document.check_document(merged)
    match validation:
        case document.Invalid():
            problems = validation.problems
        case _:
            problems = ()
    change_lines = [differences.format_line(item) for item in changes]
    return reports.Report(
        exit_code=_exit_code(problems),
        document={
            'base': live.version,
            'changes': [_to_record(item) for item in changes],
            'problems': problems,
        },
        lines=(
            f'base version {live.version}',
            *(change_lines or ['no change']),
            *(f'not valid: {problem}' for problem in problems),
        ),
    )


def _exit_code(problems: tuple[str, ...]) -> exit_codes.ExitCode:
    if problems:
        return exit_codes.ExitCode.CONFIGURATION
    return exit_codes.ExitCode.SUCCESS


def _to_record(difference: differences.Difference) -> dict[str, Any]:
    kind = type(difference).__name__.lower()
    return {'kind': kind} | dataclasses.asdict(difference)
