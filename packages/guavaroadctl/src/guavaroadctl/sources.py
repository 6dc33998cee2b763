"""Reads tasks and patches from a file or from standard input."""

import dataclasses
import pathlib
import sys
from typing import Any, Final

import msgspec

from guavaroadctl import reports

STANDARD_INPUT: Final = '-'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """Text that was read.

    Attributes:
        name: Name for messages.
        text: Bytes that were read.
    """

    name: str
    text: bytes


def read(path: str) -> Source | reports.Problem:
    """Read a file, or standard input for `-`.

    Args:
        path: Path, or `-`.

    Returns:
        What was read, or why it can't be.
    """
    if path == STANDARD_INPUT:
        return Source(name='standard input', text=sys.stdin.buffer.read())
    try:
        return Source(name=path, text=pathlib.Path(path).read_bytes())
    except OSError as broken:
        return reports.usage(f'{path}: {broken.strerror}')


def payloads(path: str) -> list[msgspec.Raw] | reports.Problem:
    """Read task payloads: a JSON array, or one JSON value a line.

    Args:
        path: Path, or `-`.

    Returns:
        One payload a task.
    """
    source = read(path)
    match source:
        case reports.Problem():
            return source
    found = _decode_payloads(source)
    if not found:
        return reports.usage(f'{source.name}: holds no task')
    return found


def patch(path: str) -> dict[str, Any] | reports.Problem:
    """Read a merge patch: one JSON object.

    Args:
        path: Path, or `-`.

    Returns:
        The patch.
    """
    source = read(path)
    match source:
        case reports.Problem():
            return source
    try:
        return msgspec.json.decode(source.text, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as broken:
        return reports.usage(f'{source.name}: not a JSON object: {broken}')


def _decode_payloads(source: Source) -> list[msgspec.Raw] | reports.Problem:
    text = source.text.strip()
    try:
        return _split(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as broken:
        return reports.usage(
            f'{source.name}: neither a JSON array nor a value a line: {broken}'
        )


def _split(text: bytes) -> list[msgspec.Raw]:
    if text.startswith(b'['):
        return msgspec.json.decode(text, type=list[msgspec.Raw])
    return msgspec.json.Decoder(msgspec.Raw).decode_lines(text)
