"""Election of the next allocator when the active one is lost.

Handles an allocator that is killed, frozen or cut off under load. Candidates
take turns by rank. A candidate polls the other instances whether the allocator
is alive, then claims the next token by compare-and-set on one row of the store.
While the store is unavailable it uses a token that was reserved for it.
"""

import dataclasses
import enum
import itertools
from collections.abc import Iterable, Mapping
from typing import Final

from guavaroad.domain import names, units
from guavaroad.domain.pool import peer_messages, values

# Period of an allocator's heartbeats, in seconds.
HEARTBEAT_PERIOD_S: Final = 0.1
# An allocator without a message for this long is considered lost, in seconds:
# four heartbeats, so that one stall of the event loop has no effect.
ALLOCATOR_TIMEOUT_S: Final = 0.45
# An allocator that another instance received a message from this recently is
# alive, in seconds: two and a half heartbeats. The last message reaches each
# instance at another moment, so the timeout above would keep the first
# candidate from claiming.
ALIVE_WITHIN_S: Final = 0.25
# Interval between the candidates' turns, in seconds. A poll and a claim take
# less while the store is available.
TURN_INTERVAL_S: Final = 0.15
# Interval between turns when candidates retry the election, in seconds. The
# first candidate has had a turn by then, and concurrent claims are harmless.
RETRY_TURN_INTERVAL_S: Final = 0.05
FIRST_TURN_DELAY_S: Final = 0.02
LAST_TURN: Final = 8
# Additional delay of an instance that reaches no other, in seconds: it is more
# likely to be cut off itself.
ISOLATED_EXTRA_DELAY_S: Final = 1.5
# Tokens that a claim reserves for successors that take over without the store.
# A rolling restart of a zone that is cut off from the store replaces its
# allocators one by one and uses a token for each.
RESERVED_TOKENS: Final = 16
RESERVED_TOKENS_PER_ZONE: Final = 4


class PollDecision(enum.Enum):
    """What a candidate does after an election poll."""

    CLAIM = 'claim'
    BACK_OFF = 'stand_back'
    ISOLATED = 'alone'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """Term of the allocator that an instance follows.

    Attributes:
        token: Fencing token of the allocator; 0 before the first term.
        allocator: Name of the allocator.
        successors: Instances that may take over without the store, in order.
        reserved_token_base: Token before the first reserved one.
    """

    token: values.Token
    allocator: values.InstanceName
    successors: tuple[values.InstanceName, ...] = ()
    reserved_token_base: values.Token

    def reserved_token(
        self, name: values.InstanceName, above: values.Token | None = None
    ) -> values.Token | None:
        """Return the token that is reserved for an instance.

        Args:
            name: Name of the instance.
            above: Highest token in use; by default that of this term.

        Returns:
            The token, or None if there is none or it is outdated.
        """
        if name not in self.successors:
            return None
        position = self.successors.index(name)
        token = values.Token(self.reserved_token_base + position + 1)
        return token if token > (above or self.token) else None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AllocatorRow:
    """The row of the store that names the allocator.

    Attributes:
        token: Fencing token of the allocator; 0 if there is no row.
        allocator: Name of the allocator.
        version: Version of the row; 0 if there is no row.
    """

    token: values.Token
    allocator: values.InstanceName
    version: int

    def next_token(self) -> values.Token:
        """Return a token above this row's token and its reserved tokens."""
        if not self.version:
            return values.Token(1)
        return values.Token(self.token + RESERVED_TOKENS + 1)


NO_TERM: Final = Term(
    token=values.Token(0),
    allocator=values.InstanceName(''),
    reserved_token_base=values.Token(0),
)


def turn_delay_s(
    *,
    term: Term,
    name: values.InstanceName,
    instances: Iterable[values.InstanceName],
    zones: Mapping[values.InstanceName, names.AvailabilityZone],
    interval_s: float = TURN_INTERVAL_S,
) -> float:
    """Return how long a candidate waits for its turn, in seconds.

    The zone of the lost allocator may be cut off or without power: its
    instances come after the others.

    Args:
        term: Term of the lost allocator.
        name: Name of the candidate.
        instances: All tracked instances by rank, highest first.
        zones: Zone of each tracked instance.
        interval_s: Interval between two turns, in seconds.
    """
    ranked = tuple(instances)
    candidates = {*ranked, name, *term.successors} - {term.allocator}
    others = [other for other in ranked if other not in term.successors]
    order = [
        candidate
        for candidate in (*term.successors, *others)
        if candidate in candidates
    ]
    lost_zone = zones.get(term.allocator)
    order.sort(key=lambda candidate: zones.get(candidate) == lost_zone)
    turn = order.index(name) if name in order else LAST_TURN
    return FIRST_TURN_DELAY_S + interval_s * min(turn, LAST_TURN)


def is_conclusive(
    *,
    term: Term,
    others: int,
    answers: Iterable[peer_messages.PollAnswer],
) -> bool:
    """Return whether further answers to a poll need not be awaited.

    Answers of a cut-off zone never come. Where most instances follow no
    allocator, a new one serves more clients than the previous one does.

    Args:
        term: Term of the lost allocator.
        others: Number of other tracked instances.
        answers: Answers that have arrived.
    """
    received = tuple(answers)
    if any(shows_allocator(answer, term) for answer in received):
        return False
    return len(received) * 2 > others


def decide_after_poll(
    *,
    term: Term,
    others: int,
    answers: Iterable[peer_messages.PollAnswer],
) -> PollDecision:
    """Return what a candidate does after its election poll.

    Args:
        term: Term of the lost allocator.
        others: Number of other tracked instances.
        answers: Answers that have arrived.
    """
    received = tuple(answers)
    if any(shows_allocator(answer, term) for answer in received):
        return PollDecision.BACK_OFF
    if others and not received:
        return PollDecision.ISOLATED
    return PollDecision.CLAIM


def shows_allocator(answer: peer_messages.PollAnswer, term: Term) -> bool:
    """Return whether an answer shows that an allocator is alive.

    An allocator with a higher token counts as alive as long as an instance
    follows it. A higher token whose allocator is lost does not make a candidate
    back off.
    """
    if answer.last_message_age_ms < 0 or answer.token < term.token:
        return False
    age_s = answer.last_message_age_ms / units.MS_PER_S
    return answer.token > term.token or age_s < ALIVE_WITHIN_S


def highest_token(
    term: Term, answers: Iterable[peer_messages.PollAnswer]
) -> values.Token:
    """Return the highest token in a candidate's term and poll answers."""
    return max((term.token, *(answer.token for answer in answers)))


def add_successor(
    term: Term,
    name: values.InstanceName,
    zones: dict[values.InstanceName, names.AvailabilityZone],
) -> Term:
    """Return the term with one more successor, if there is a token for it.

    Only an allocator that claimed the row may add successors, and existing ones
    keep their index, so that no token is given to two instances.

    Args:
        term: Term of the allocator.
        name: Instance that has connected.
        zones: Zone of each tracked instance.
    """
    has_claimed = term.token == term.reserved_token_base
    is_new = name not in term.successors and name != term.allocator
    same_zone = [
        successor
        for successor in term.successors
        if zones.get(successor) == zones.get(name)
    ]
    is_full = len(term.successors) >= RESERVED_TOKENS
    if not has_claimed or not is_new or is_full:
        return term
    if len(same_zone) >= RESERVED_TOKENS_PER_ZONE:
        return term
    return dataclasses.replace(term, successors=(*term.successors, name))


def choose_successors(
    allocator: values.InstanceName,
    ranked: Iterable[peer_messages.Instance],
) -> tuple[values.InstanceName, ...]:
    """Return the initial successors: the highest ranked of each zone in turn.

    Args:
        allocator: Name of the allocator.
        ranked: Available instances by rank, highest first.
    """
    by_zone: dict[names.AvailabilityZone, list[values.InstanceName]] = {}
    for instance in ranked:
        if instance.name != allocator:
            by_zone.setdefault(instance.zone, []).append(instance.name)
    rounds = itertools.zip_longest(
        *(
            zone_instances[:RESERVED_TOKENS_PER_ZONE]
            for zone_instances in by_zone.values()
        )
    )
    interleaved = itertools.chain.from_iterable(rounds)
    return tuple(filter(None, interleaved))[:RESERVED_TOKENS]
