"""Decodes JSON from outside; any input gives a value or a reason."""

import dataclasses
from typing import TypeVar

import msgspec

Decoded = TypeVar('Decoded')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Malformed:
    """The bytes are not the JSON that was asked for.

    Attributes:
        reason: What is wrong with them.
    """

    reason: str


def decode(body: bytes, kind: type[Decoded]) -> Decoded | Malformed:
    """Decode JSON in UTF-8.

    Args:
        body: Bytes from outside.
        kind: Type to decode to.

    Returns:
        The value, or what is wrong with the bytes.
    """
    try:
        # Raw parts of a struct are not checked by the decoder.
        body.decode()
    except UnicodeDecodeError as broken:
        return Malformed(reason=f'not utf-8 at byte {broken.start}')
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as malformed:
        return Malformed(reason=str(malformed))
    except RecursionError:
        return Malformed(reason='nested too deeply')
