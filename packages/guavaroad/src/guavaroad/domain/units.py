"""Factors between units, and conversions of times."""

from typing import Final

MS_PER_S: Final = 1000


def to_ms(seconds: float) -> int:
    """Return whole milliseconds, rounded towards zero.

    Args:
        seconds: A time in seconds.
    """
    return int(seconds * MS_PER_S)
