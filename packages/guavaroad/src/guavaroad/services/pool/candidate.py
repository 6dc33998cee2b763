"""Elects a new allocator when the current one is lost."""

from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from twisted.internet import defer

from guavaroad.domain.pool import (
    election,
    rival_claims,
    values,
)
from guavaroad.ports import logs, platform, pool, timers
from guavaroad.services.pool import (
    allocator_follower,
    decision_log,
    directory,
    election_poll,
    instance_links,
    store_calls,
)

# Time for the other instances to answer a poll, in seconds. A connection that
# takes longer is cut, or leads to a machine without power.
POLL_TIMEOUT_S: Final = 0.12
# Delay before the next election round, in seconds.
RETRY_DELAY_S: Final = 0.25
# Delay between process start and the first election, in seconds. Instances
# that start together are listening by then, so that their answers to a poll
# show whether one of them allocates.
STARTUP_DELAY_S: Final = 0.25
# Time for the store to answer while this instance has a reserved token, in
# seconds. A healthy store takes about 10 ms.
STORE_TIMEOUT_S: Final = 0.08
_log: Final = logs.logger_of('election')

Answer = TypeVar('Answer')
Elected = Callable[[election.Term, instance_links.InstanceLinks], object]


class ClaimRace:
    """Resolves a deferred with the first of two results.

    Attributes:
        answer: Fires with the first result.
    """

    def __init__(self, *, answer: 'defer.Deferred[Any]') -> None:
        self.answer = answer

    def resolve(self, result: object) -> None:
        """Fire the deferred, unless it has fired already."""
        if not self.answer.called:
            self.answer.callback(result)


class Candidate:
    """Runs for allocator: waits for its turn, polls, claims the token.

    Attributes:
        running: Whether an election round is in progress.
        withdrawn: Whether this instance takes part in no further election.
        isolated_since_s: Time of the first of the consecutive polls that
            no instance has answered.
        reached: Instances that the last poll reached.
        rivals: Claims of other instances.
    """

    def __init__(
        self,
        *,
        follower: allocator_follower.AllocatorFollower,
        instance_directory: directory.Directory,
        dialler: instance_links.DiallerPort,
        cluster: pool.ClusterPort,
        timer_service: timers.TimerService,
        log: decision_log.DecisionLog,
        on_elected: Elected,
    ) -> None:
        self.follower = follower
        self.directory = instance_directory
        self.dialler = dialler
        self.cluster = cluster
        self.timers = timer_service
        self.decision_log = log
        self.on_elected = on_elected
        self.running = False
        self.withdrawn = False
        self.isolated_since_s: float | None = None
        self.rivals = rival_claims.RivalClaims()
        self.reached: frozenset[values.InstanceName] = frozenset()

    def retry_election(self) -> None:
        """Start the next election round after one without a result."""
        self.start_election(election.RETRY_TURN_INTERVAL_S)

    def start_election(
        self, interval_s: float = election.TURN_INTERVAL_S
    ) -> None:
        """Start an election round, unless one runs or an allocator is alive.

        Args:
            interval_s: Interval between the turns of two candidates, in
                seconds.
        """
        if self.running or self.withdrawn or self.follower.is_allocator_alive():
            return
        self.running = True
        turn_s = election.turn_delay_s(
            term=self.follower.term,
            name=self.directory.local_instance.name,
            instances=[instance.name for instance in self.directory.ranked()],
            zones=self.directory.zones(),
            interval_s=interval_s,
        )
        self.timers.call_after(turn_s, self.poll)

    def poll(self) -> None:
        """Ask the other instances whether their allocator is alive."""
        if self.withdrawn or self.follower.is_allocator_alive():
            self.running = False
            return
        links = instance_links.InstanceLinks(
            dialler=self.dialler,
            timer_service=self.timers,
            instance_directory=self.directory,
        )
        poll_round = election_poll.PollRound(
            local_instance=self.directory.local_instance,
            term=self.follower.term,
            links=links,
            expected=self.expected_voters(),
            on_finished=self.on_poll_finished,
        )
        links.dial_all()
        self.timers.call_after(POLL_TIMEOUT_S, poll_round.finish)

    def expected_voters(self) -> frozenset[values.InstanceName]:
        """Return all instances but this one and the lost allocator."""
        follower = self.follower
        absent = {self.directory.local_instance.name, follower.term.allocator}
        return frozenset(self.directory.instances).difference(absent)

    def on_poll_finished(self, poll_round: election_poll.PollRound) -> None:
        """Decide by the answers to a poll."""
        defer.ensureDeferred(self.conclude(poll_round))

    async def conclude(self, poll_round: election_poll.PollRound) -> None:
        """Take the token if it was claimed, or retry the election later."""
        try:
            elected = await self.decide(poll_round)
        except Exception as error:  # noqa: BLE001 - the next round may succeed
            _log.opt(exception=error).error('election round failed')
            elected = None
        self.running = False
        if elected is None or self.is_obsolete(poll_round.term):
            poll_round.links.close()
            self.timers.call_after(RETRY_DELAY_S, self.retry_election)
            return
        self.on_elected(elected, poll_round.links)

    async def decide(
        self, poll_round: election_poll.PollRound
    ) -> election.Term | None:
        """Claim the token, or back off; return the new term if it has one."""
        term = poll_round.term
        answers = tuple(poll_round.answers.values())
        self.reached = frozenset(poll_round.links.links)
        step = election.decide_after_poll(
            term=term,
            others=len(self.directory.instances) - 1,
            answers=answers,
        )
        step = self.delay_if_isolated(step)
        elected: election.Term | None = None
        if step is election.PollDecision.CLAIM and not self.is_obsolete(term):
            highest = election.highest_token(term, answers)
            elected = await self.claim(poll_round, highest)
        self.decision_log.log_event(
            'candidate_polled',
            lost_token=term.token,
            answers=len(answers),
            step=step.value,
            token=elected.token if elected else 0,
        )
        return elected

    def is_obsolete(self, term: election.Term) -> bool:
        """Return whether the election for the successor of a term is over."""
        follower = self.follower
        changed = follower.term.token != term.token
        return changed or follower.is_allocator_alive() or self.withdrawn

    def delay_if_isolated(
        self, step: election.PollDecision
    ) -> election.PollDecision:
        """Turn `ISOLATED` into `CLAIM` after the delay for isolation."""
        if step is not election.PollDecision.ISOLATED:
            self.isolated_since_s = None
            return step
        now_s = self.timers.now()
        if self.isolated_since_s is None:
            self.isolated_since_s = now_s
        if now_s - self.isolated_since_s < election.ISOLATED_EXTRA_DELAY_S:
            return step
        return election.PollDecision.CLAIM

    async def claim(
        self, poll_round: election_poll.PollRound, highest: values.Token
    ) -> election.Term | None:
        """Claim the token in the store, or use a reserved token.

        Args:
            poll_round: Poll for the successor of the lost allocator.
            highest: Highest token that any polled instance has seen.

        Returns:
            The new term, or none if the claim failed.
        """
        own_name = self.directory.local_instance.name
        term = poll_round.term
        row = await self.answer_or_timeout(term, self.cluster.read_allocator())
        if isinstance(row, platform.Away):
            return claim_reserved(term, own_name, highest)
        if self.is_rival_expected(poll_round, row):
            return None
        return await self.claim_row(term, row, highest)

    def is_rival_expected(
        self, poll_round: election_poll.PollRound, row: election.AllocatorRow
    ) -> bool:
        """Return whether the instance that a row names may still connect."""
        own_name = self.directory.local_instance.name
        if row.token <= poll_round.term.token or row.allocator == own_name:
            return False
        now_s = self.timers.now()
        self.rivals.record(row, now_s)
        return not self.rivals.is_over(
            row,
            polled_s=poll_round.began_s,
            answer=poll_round.answers.get(row.allocator),
            now_s=now_s,
        )

    def answer_or_timeout(
        self, term: election.Term, call: Coroutine[Any, Any, Answer]
    ) -> 'defer.Deferred[Answer | platform.Away]':
        """Return the store's answer, or `Away` after a timeout.

        The timeout applies only if a token is reserved for this instance. A
        claim that the store still executes later has no effect, as no instance
        uses its token.
        """
        answer: defer.Deferred[Any] = defer.Deferred()
        race = ClaimRace(answer=answer)
        if term.reserved_token(self.directory.local_instance.name) is not None:
            slow = platform.Away(detail='slow')
            self.timers.call_after(STORE_TIMEOUT_S, lambda: race.resolve(slow))
        reading = defer.ensureDeferred(store_calls.completed(call))
        reading.addCallback(race.resolve)
        return answer

    async def claim_row(
        self,
        term: election.Term,
        row: election.AllocatorRow,
        highest: values.Token,
    ) -> election.Term | None:
        """Claim the token by a compare-and-set of the allocator's row."""
        own_name = self.directory.local_instance.name
        token = row.next_token()
        claimed = await self.answer_or_timeout(
            term, self.cluster.claim(row, token, own_name)
        )
        if isinstance(claimed, platform.Away):
            return claim_reserved(term, own_name, highest)
        if not isinstance(claimed, pool.Claimed):
            return None
        reachable = [
            instance
            for instance in self.directory.ranked()
            if instance.name in self.reached
        ]
        successors = election.choose_successors(own_name, reachable)
        return election.Term(
            token=token,
            allocator=own_name,
            successors=successors,
            reserved_token_base=token,
        )


def claim_reserved(
    term: election.Term, name: values.InstanceName, highest: values.Token
) -> election.Term | None:
    """Return the term with the token that is reserved for an instance.

    Args:
        term: Term of the lost allocator.
        name: Name of the instance.
        highest: Highest token that any polled instance has seen.

    Returns:
        The new term, or none if no token is reserved or it is outdated.
    """
    token = term.reserved_token(name, highest)
    if token is None:
        return None
    return election.Term(
        token=token,
        allocator=name,
        successors=term.successors,
        reserved_token_base=term.reserved_token_base,
    )


async def remember_row(candidate: Candidate) -> None:
    """Record the allocator's row as it is when the process starts.

    It is not the claim of a rival that is about to connect.
    """
    row = await store_calls.completed(candidate.cluster.read_allocator())
    if isinstance(row, election.AllocatorRow):
        candidate.rivals.record(row, candidate.timers.now())
