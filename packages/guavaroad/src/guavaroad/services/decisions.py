"""Bounded history of the decisions of this process, with their reasons."""

import collections
from typing import Final

import msgspec

from guavaroad.ports import timers

MAX_DECISIONS: Final = 256
_MAX_TEXT_CHARS: Final = 200


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision.

    Attributes:
        at_s: Wall-clock time, seconds since 1970.
        part: Component that decided.
        what: Decision.
        reason: Reason, in one sentence.
        times: Number of equal decisions in a row.
    """

    at_s: float
    part: str
    what: str
    reason: str
    times: int = 1


class DecisionHistory:
    """Ring buffer of the most recent decisions."""

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        max_decisions: int = MAX_DECISIONS,
    ) -> None:
        self.timers = timer_service
        self.ring: collections.deque[Decision] = collections.deque(
            maxlen=max_decisions
        )

    def record(self, part: str, what: str, reason: str) -> None:
        """Record a decision; a repeat of the last one raises its count.

        Args:
            part: Component that decided.
            what: Decision, without secrets.
            reason: Reason in one sentence, without secrets.
        """
        decision = Decision(
            at_s=self.timers.wall(),
            part=part,
            what=what[:_MAX_TEXT_CHARS],
            reason=reason[:_MAX_TEXT_CHARS],
        )
        self.ring.append(self.merged(decision))

    def merged(self, decision: Decision) -> Decision:
        """Return the decision; merge the last one into it if they are equal."""
        if not self.ring:
            return decision
        last = self.ring[-1]
        same = (last.part, last.what, last.reason)
        if same != (decision.part, decision.what, decision.reason):
            return decision
        self.ring.pop()
        return msgspec.structs.replace(decision, times=last.times + 1)

    def describe(self) -> tuple[Decision, ...]:
        """Return the decisions, newest first."""
        return tuple(reversed(self.ring))
