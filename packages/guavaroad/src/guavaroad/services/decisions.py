"""The recent decisions of this process, each with its reason."""

import collections
from typing import Final

import msgspec

from guavaroad.ports import timers

KEPT_DECISIONS: Final = 256
_MAX_CHARS: Final = 200


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision.

    Attributes:
        at_s: Wall-clock time, seconds since 1970.
        part: Part that decided.
        what: What it decided.
        reason: Why, in one sentence.
        times: How often it was decided in a row.
    """

    at_s: float
    part: str
    what: str
    reason: str
    times: int = 1


class DecisionHistory:
    """A bounded ring; the oldest decision makes room for the newest."""

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        kept: int = KEPT_DECISIONS,
    ) -> None:
        self.timers = timer_service
        self.ring: collections.deque[Decision] = collections.deque(maxlen=kept)

    def record(self, part: str, what: str, reason: str) -> None:
        """Keep a decision; a repeat of the last one is counted with it.

        Args:
            part: Part that decided.
            what: What it decided; nothing secret.
            reason: Why, in one sentence; nothing secret.
        """
        noted = Decision(
            at_s=self.timers.wall(),
            part=part,
            what=what[:_MAX_CHARS],
            reason=reason[:_MAX_CHARS],
        )
        self.ring.append(self.merged(noted))

    def merged(self, noted: Decision) -> Decision:
        """Take the last decision out if it is the same as the new one."""
        if not self.ring:
            return noted
        last = self.ring[-1]
        same = (last.part, last.what, last.reason)
        if same != (noted.part, noted.what, noted.reason):
            return noted
        self.ring.pop()
        return msgspec.structs.replace(noted, times=last.times + 1)

    def describe(self) -> tuple[Decision, ...]:
        """Return the decisions, newest first."""
        return tuple(reversed(self.ring))
