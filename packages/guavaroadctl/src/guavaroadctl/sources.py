"""Reads tasks and patches from a file or standard input."""

import dataclasses
import pathlib
import sys
from typing import Any, Final

import msgspec

from guavaroadctl import reports

STANDARD_INPUT: Final = '-'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InputText:
    """Contents of a file or of standard input.

    Attributes:
        name: Name used in error messages.
        text: The contents.
    """

    name: str
    text: bytes


def read(path: str) -> InputText | reports.Problem:
    """Read a file, or standard input for `-`.

    Args:
        path: Path, or `-` for standard input.

    Returns:
        The contents, or a usage error if the file cannot be read.
    """
    if path == STANDARD_INPUT:
        return InputText(name='standard input', text=sys.stdin.buffer.read())
    try:
        return InputText(name=path, text=pathlib.Path(path).read_bytes())
    except OSError as error:
        return reports.usage(f'{path}: {error.strerror}')


def read_payloads(path: str) -> list[msgspec.Raw] | reports.Problem:
    """Read task payloads: a JSON array, or one JSON value per line.

    Args:
        path: Path, or `-` for standard input.

    Returns:
        One payload per task, or a usage error.
    """
    source = read(path)
    match source:
        case reports.Problem():
            return source
    payloads = _decode_payloads(source)
    if not payloads:
        return reports.usage(f'{source.name}: contains no task')
    return payloads


def read_patch(path: str) -> dict[str, Any] | reports.Problem:
    """Read a merge patch: one JSON object.

    Args:
        path: Path, or `-` for standard input.

    Returns:
        The patch, or a usage error.
    """
    source = read(path)
    match source:
        case reports.Problem():
            return source
    try:
        return msgspec.json.decode(source.text, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return reports.usage(f'{source.name}: not a JSON object: {error}')


def _decode_payloads(source: InputText) -> list[msgspec.Raw] | reports.Problem:
    text = source.text.strip()
    try:
        return _split_payloads(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return reports.usage(
            f'{source.name}: neither a JSON array nor one JSON value per '
            f'line: {error}'
        )


def _split_payloads(text: bytes) -> list[msgspec.Raw]:
    if text.startswith(b'['):
        return msgspec.json.decode(text, type=list[msgspec.Raw])
    return msgspec.json.Decoder(msgspec.Raw).decode_lines(text)
