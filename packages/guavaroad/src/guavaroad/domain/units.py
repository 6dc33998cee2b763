"""Unit conversions."""

from typing import Final

MS_PER_S: Final = 1000


def to_ms(seconds: float) -> int:
    """Convert seconds to whole milliseconds, rounding towards zero."""
    return int(seconds * MS_PER_S)
