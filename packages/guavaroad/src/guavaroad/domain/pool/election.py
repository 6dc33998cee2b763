"""Who allocates next when the allocator is lost.

Answers the failures in which the allocator is killed, frozen or cut off while
work floods in: the candidates wait their turn by rank, ask the others whether
they still hear the allocator, and claim the token by compare-and-set on one
row, or use a token that was reserved for them while the store is away.
"""

import dataclasses
import enum
import itertools
from collections.abc import Iterable
from typing import Final

from guavaroad.domain import names, units
from guavaroad.domain.pool import peer_messages, values

# An allocator that says nothing this long is taken for lost, in seconds:
# four heartbeats, so that one stall of the loop does not tell.
ALLOCATOR_TIMEOUT_S: Final = 0.45
# An allocator that others have heard this recently is alive, in seconds: two
# heartbeats and a half. Each of them hears it last at another moment, so that
# the silence above would keep the first candidate from claiming.
ALIVE_S: Final = 0.25
# Pause between the candidates' turns, in seconds: a poll and a claim take
# less while the store is well.
TURN_INTERVAL_S: Final = 0.15
# Pause between the turns of candidates that stand again, in seconds: whoever
# goes first has had a turn by then, and two claims at once harm nothing.
RETRY_TURN_INTERVAL_S: Final = 0.05
FIRST_TURN_S: Final = 0.02
LAST_TURN: Final = 8
# An instance that reaches no other waits this much longer, in seconds, since
# it is more likely cut off itself.
ISOLATED_EXTRA_DELAY_S: Final = 1.5
# Tokens that a claim reserves for instances that take over without the store:
# while it is away, a zone that is cut off loses its allocators one by one in a
# rolling restart.
RESERVED: Final = 16
RESERVED_A_ZONE: Final = 4


class PollDecision(enum.Enum):
    """What a candidate does after a poll."""

    CLAIM = 'claim'
    BACK_OFF = 'stand_back'
    ISOLATED = 'alone'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """The allocator that an instance follows.

    Attributes:
        token: Its token; 0 for none yet.
        allocator: Its name.
        successors: Who may take over without the store.
        reserved_token_base: Token before the first reserved one.
    """

    token: values.Token
    allocator: values.InstanceName
    successors: tuple[values.InstanceName, ...] = ()
    reserved_token_base: values.Token

    def reserved_token(
        self, name: values.InstanceName, above: values.Token | None = None
    ) -> values.Token | None:
        """Return the token that an instance may use without the store.

        Args:
            name: The instance.
            above: Highest token that was used; that of this reign if not given.
        """
        if name not in self.successors:
            return None
        position = self.successors.index(name)
        token = values.Token(self.reserved_token_base + position + 1)
        return token if token > (above or self.token) else None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AllocatorRow:
    """The row of the store that names the holder.

    Attributes:
        token: Its token; 0 if there is no row.
        allocator: Its name.
        version: Version of the row; 0 if there is none.
    """

    token: values.Token
    allocator: values.InstanceName
    version: int

    def next_token(self) -> values.Token:
        """Return a token above all that this row has given out."""
        if not self.version:
            return values.Token(1)
        return values.Token(self.token + RESERVED + 1)


NO_TERM: Final = Term(
    token=values.Token(0),
    allocator=values.InstanceName(''),
    reserved_token_base=values.Token(0),
)


def turn_delay_s(
    *,
    reign: Term,
    name: values.InstanceName,
    instances: Iterable[values.InstanceName],
    spacing_s: float = TURN_INTERVAL_S,
) -> float:
    """Return how long a candidate waits for its turn.

    Args:
        reign: The lost allocator.
        name: The candidate.
        instances: Every known instance, those that go first at the front.
        spacing_s: Pause between two turns, in seconds.

    Returns:
        Seconds.
    """
    ranked = tuple(instances)
    everyone = {*ranked, name, *reign.successors} - {reign.allocator}
    others = [one for one in ranked if one not in reign.successors]
    line = [one for one in (*reign.successors, *others) if one in everyone]
    turn = line.index(name) if name in line else LAST_TURN
    return FIRST_TURN_S + spacing_s * min(turn, LAST_TURN)


def decide_after_poll(
    *,
    reign: Term,
    others: int,
    answers: Iterable[peer_messages.PollAnswer],
) -> PollDecision:
    """Return what a candidate does with the answers to its poll.

    Args:
        reign: The lost allocator.
        others: Other instances that are known.
        answers: What those said that answered.
    """
    heard = tuple(answers)
    if any(is_fresh(answer, reign) for answer in heard):
        return PollDecision.BACK_OFF
    if others and not heard:
        return PollDecision.ISOLATED
    return PollDecision.CLAIM


def is_fresh(answer: peer_messages.PollAnswer, reign: Term) -> bool:
    """Return whether an answer says that an allocator is alive.

    One with a higher token is, until the instance that follows it has lost it;
    a token that nobody holds any more keeps no candidate back.
    """
    if answer.last_message_age_ms < 0 or answer.token < reign.token:
        return False
    heard_s = answer.last_message_age_ms / units.MS_PER_S
    return answer.token > reign.token or heard_s < ALIVE_S


def highest_token(
    reign: Term, answers: Iterable[peer_messages.PollAnswer]
) -> values.Token:
    """Return the highest token that a candidate knows of after a poll."""
    return max((reign.token, *(answer.token for answer in answers)))


def add_successor(
    reign: Term,
    name: values.InstanceName,
    zones: dict[values.InstanceName, names.AvailabilityZone],
) -> Term:
    """Return the reign with one more instance that may take over.

    Only who claimed the row may name it, and places never change, so that no
    token has two holders.

    Args:
        reign: The allocator's.
        name: Instance that has linked.
        zones: Zone of each known instance.
    """
    is_own = reign.token == reign.reserved_token_base
    is_new = name not in reign.successors and name != reign.allocator
    same_zone = [
        one for one in reign.successors if zones.get(one) == zones.get(name)
    ]
    is_full = len(reign.successors) >= RESERVED
    if not is_own or not is_new or is_full:
        return reign
    if len(same_zone) >= RESERVED_A_ZONE:
        return reign
    return dataclasses.replace(reign, successors=(*reign.successors, name))


def choose_successors(
    holder: values.InstanceName,
    ranked: Iterable[peer_messages.Instance],
) -> tuple[values.InstanceName, ...]:
    """Return who may take over without the store: some of each zone.

    Args:
        holder: The allocator.
        ranked: Instances that are there, those that go first at the front.
    """
    by_zone: dict[names.AvailabilityZone, list[values.InstanceName]] = {}
    for one in ranked:
        if one.name != holder:
            by_zone.setdefault(one.zone, []).append(one.name)
    rounds = itertools.zip_longest(
        *(line[:RESERVED_A_ZONE] for line in by_zone.values())
    )
    in_turn = itertools.chain.from_iterable(rounds)
    return tuple(filter(None, in_turn))[:RESERVED]
