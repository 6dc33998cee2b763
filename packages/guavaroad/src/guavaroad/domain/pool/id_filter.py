"""A compact record of many ids, in two generations.

It may report an id that was never recorded, but misses none that is retained.
Its memory grows with the ids up to a limit, and can be freed at once: a process
that allocates again and again exceeds its memory otherwise.
"""

from typing import Final

# Largest size of a generation. With 2.5 million ids it reports at most 1 % of
# others.
SIZE_BYTES: Final = 8 * 1024 * 1024
# Size of the parts that are created when they are first needed. Few ids are
# spread over all parts, so larger ones would all exist soon.
PAGE_BYTES: Final = 4096
_HASH_SHIFT: Final = 32
_BITS_PER_BYTE: Final = 8
_BITS: Final = SIZE_BYTES * _BITS_PER_BYTE
_PAGE_BITS: Final = PAGE_BYTES * _BITS_PER_BYTE

# Parts by their number.
Pages = dict[int, bytearray]


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
        self.recent: Pages = {}
        self.older: Pages = {}
        self.rotated_s = now_s

    def record(self, recorded: str) -> None:
        """Record an id."""
        for position in _positions(recorded):
            number, offset = divmod(position, _PAGE_BITS)
            page = self.recent.get(number)
            if page is None:
                page = bytearray(PAGE_BYTES)
                self.recent[number] = page
            index, bit = divmod(offset, _BITS_PER_BYTE)
            page[index] |= 1 << bit

    def may_contain(self, sought: str) -> bool:
        """Return whether an id may have been recorded."""
        positions = _positions(sought)
        return any(
            all(_is_set(pages, position) for position in positions)
            for pages in (self.recent, self.older)
        )

    def expire(self, now_s: float) -> None:
        """Drop the ids whose retention has ended.

        Args:
            now_s: Current time, in seconds.
        """
        if now_s - self.rotated_s >= self.retention_s:
            self.rotated_s = now_s
            self.older = self.recent
            self.recent = {}

    def clear(self) -> None:
        """Drop all ids, and free their memory."""
        self.recent = {}
        self.older = {}


def _positions(text: str) -> tuple[int, int]:
    hashed = hash(text)
    return hashed % _BITS, (hashed >> _HASH_SHIFT) % _BITS


def _is_set(pages: Pages, position: int) -> bool:
    number, offset = divmod(position, _PAGE_BITS)
    page = pages.get(number)
    if page is None:
        return False
    index, bit = divmod(offset, _BITS_PER_BYTE)
    return bool(page[index] >> bit & 1)
