"""Decoding of untrusted JSON, without exceptions on any input."""

import dataclasses
from typing import TypeVar

import msgspec

Decoded = TypeVar('Decoded')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Malformed:
    """Result for bytes that are not valid JSON of the expected type.

    Attributes:
        reason: Why decoding failed.
    """

    reason: str


def decode(body: bytes, kind: type[Decoded]) -> Decoded | Malformed:
    """Decode UTF-8 encoded JSON.

    Args:
        body: Untrusted bytes.
        kind: Type to decode to.

    Returns:
        The decoded value, or the reason why decoding failed.
    """
    try:
        # The decoder does not validate UTF-8 inside `msgspec.Raw` fields.
        body.decode()
    except UnicodeDecodeError as unicode_error:
        return Malformed(reason=f'not utf-8 at byte {unicode_error.start}')
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as decode_error:
        return Malformed(reason=str(decode_error))
    except RecursionError:
        return Malformed(reason='nested too deeply')
