"""Decoding of untrusted JSON, without exceptions on any input."""

import dataclasses
from typing import Final, Generic, TypeVar

import msgspec

Decoded = TypeVar('Decoded')

# Errors of the decoder. Its documentation does not list `RecursionError`, which
# it raises for deep nesting, also in fields that it skips.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    RecursionError,
    ValueError,
    OverflowError,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Malformed:
    """Result for bytes that are not valid JSON of the expected type.

    Attributes:
        reason: Why decoding failed.
    """

    reason: str


class Decoder(Generic[Decoded]):
    """Decodes UTF-8 encoded JSON of one type."""

    def __init__(self, kind: type[Decoded]) -> None:
        self.decoder = msgspec.json.Decoder(kind)

    def decode(self, body: bytes) -> Decoded | Malformed:
        """Decode untrusted bytes.

        Args:
            body: Untrusted bytes.

        Returns:
            The decoded value, or the reason why decoding failed.
        """
        try:
            # The decoder does not validate UTF-8 in `msgspec.Raw` fields and
            # in fields that it skips.
            body.decode()
        except UnicodeDecodeError as unicode_error:
            return Malformed(reason=f'not utf-8 at byte {unicode_error.start}')
        try:
            return self.decoder.decode(body)
        except RecursionError:
            return Malformed(reason='nested too deeply')
        except DECODE_ERRORS as error:
            return Malformed(reason=str(error))


def decode(body: bytes, kind: type[Decoded]) -> Decoded | Malformed:
    """Decode UTF-8 encoded JSON.

    Args:
        body: Untrusted bytes.
        kind: Type to decode to.

    Returns:
        The decoded value, or the reason why decoding failed.
    """
    return Decoder(kind).decode(body)
