"""A record whose entries are dropped by age, in two generations."""

from collections.abc import Iterable
from typing import Generic, TypeVar

Key = TypeVar('Key')
Entry = TypeVar('Entry')


class Generations(Generic[Key, Entry]):
    """Entries that are retained for one to two periods.

    Attributes:
        retention_s: Minimum retention of an entry, in seconds.
        recent: Entries recorded since the last rotation.
        older: Entries of the generation before.
        rotated_s: Time of the last rotation.
        complete_since_s: Every entry recorded since then is retained.
    """

    def __init__(self, *, retention_s: float, now_s: float) -> None:
        self.retention_s = retention_s
        self.recent: dict[Key, Entry] = {}
        self.older: dict[Key, Entry] = {}
        self.rotated_s = now_s
        self.complete_since_s = now_s

    def record(self, key: Key, entry: Entry) -> None:
        """Record an entry."""
        self.recent[key] = entry

    def drop(self, key: Key) -> None:
        """Drop an entry, if there is one."""
        self.recent.pop(key, None)
        self.older.pop(key, None)

    def find(self, key: Key) -> Entry | None:
        """Return an entry, or None if there is none or it was dropped."""
        return self.recent.get(key) or self.older.get(key)

    def entries(self) -> Iterable[tuple[Key, Entry]]:
        """Return the keys and entries."""
        return (self.older | self.recent).items()

    def covers(self, since_s: float) -> bool:
        """Return whether no entry recorded since a time was dropped.

        Only then does the lack of an entry show that there was none.

        Args:
            since_s: The time, in seconds.
        """
        return since_s >= self.complete_since_s

    def expire(self, now_s: float) -> None:
        """Drop the entries whose retention has ended.

        Args:
            now_s: Current time, in seconds.
        """
        if now_s - self.rotated_s >= self.retention_s:
            self.complete_since_s = self.rotated_s
            self.rotated_s = now_s
            self.older = self.recent
            self.recent = {}
