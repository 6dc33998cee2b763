"""Logs the invalid entries of a list that is read again and again."""

from collections.abc import Mapping
from typing import Final

from guavaroad.ports import logs

# Characters of an invalid value in a log line.
MAX_DETAIL: Final = 200
_log: Final = logs.logger_of('platform')


class SkippedEntries:
    """Logs an entry when it becomes invalid, not with each list.

    Attributes:
        kind: What the entries are about.
        keys: Keys of the invalid entries in the last list.
    """

    def __init__(self, *, kind: str) -> None:
        self.kind = kind
        self.keys: frozenset[str] = frozenset()

    def update(self, reasons: Mapping[str, str]) -> None:
        """Log the entries that are newly invalid.

        Args:
            reasons: Why each invalid entry of the present list is, by key.
        """
        for key in reasons.keys() - self.keys:
            _log.warning(
                'ignoring invalid entry of {} {!r}: {}',
                self.kind,
                key[:MAX_DETAIL],
                reasons[key][:MAX_DETAIL],
            )
        self.keys = frozenset(reasons)
