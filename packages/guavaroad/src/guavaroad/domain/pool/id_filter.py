"""A compact record of many ids, in two generations.

It may report an id that was never recorded, but misses none that is retained.
"""

from typing import Final

# Size of a generation. With 2.5 million ids it reports at most 1 % of others.
SIZE_BYTES: Final = 8 * 1024 * 1024
_HASH_SHIFT: Final = 32
_BITS_PER_BYTE: Final = 8
_BITS: Final = SIZE_BYTES * _BITS_PER_BYTE


class IdFilter:
    """Ids that are retained for one to two periods.

    Attributes:
        retention_s: Minimum retention of an id, in seconds.
        recent: Bits of the ids recorded since the last rotation.
        older: Bits of the generation before.
        rotated_s: Time of the last rotation.
    """

    def __init__(self, *, retention_s: float, now_s: float) -> None:
        self.retention_s = retention_s
        self.recent = _empty()
        self.older = _empty()
        self.rotated_s = now_s

    def record(self, recorded: str) -> None:
        """Record an id."""
        for position in _positions(recorded):
            index, bit = divmod(position, _BITS_PER_BYTE)
            self.recent[index] |= 1 << bit

    def may_contain(self, sought: str) -> bool:
        """Return whether an id may have been recorded."""
        positions = _positions(sought)
        return any(
            all(_is_set(bits, position) for position in positions)
            for bits in (self.recent, self.older)
        )

    def expire(self, now_s: float) -> None:
        """Drop the ids whose retention has ended.

        Args:
            now_s: Current time, in seconds.
        """
        if now_s - self.rotated_s >= self.retention_s:
            self.rotated_s = now_s
            self.older = self.recent
            self.recent = _empty()


def _empty() -> bytearray:
    return bytearray(SIZE_BYTES)


def _positions(text: str) -> tuple[int, int]:
    hashed = hash(text)
    return hashed % _BITS, (hashed >> _HASH_SHIFT) % _BITS


def _is_set(bits: bytearray, position: int) -> bool:
    index, bit = divmod(position, _BITS_PER_BYTE)
    return bool(bits[index] >> bit & 1)
