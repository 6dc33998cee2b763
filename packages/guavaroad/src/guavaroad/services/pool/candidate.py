"""Stands for allocator when the present one is lost."""

from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from twisted.internet import defer

from guavaroad.domain.pool import election, peer_messages, values
from guavaroad.ports import platform, pool, timers
from guavaroad.services.pool import (
    decision_log,
    directory,
    following,
    instance_links,
)

# Time for the others to answer a poll, in seconds; a connection that takes
# longer is cut or to a machine without power.
POLL_S: Final = 0.12
# Pause before the next try, in seconds.
RETRY_S: Final = 0.25
# A process that has just started waits this long before it stands, in seconds:
# instances that start together listen by then, and their answers to its poll
# tell whether somebody allocates.
START_PATIENCE_S: Final = 0.25
# An instance that claimed the token and then died leaves the row; the others
# wait this long for its call, in seconds.
RIVAL_PATIENCE_S: Final = 0.5

# A store that answers a claim later than this is slow, in seconds; it takes
# some 10 ms when it is well.
PROMPT_S: Final = 0.08

Answer = TypeVar('Answer')
Elected = Callable[[election.Term, instance_links.InstanceLinks], object]


class Race:
    """Gives the first of two results.

    Attributes:
        answer: Fires with it.
    """

    def __init__(self, *, answer: 'defer.Deferred[Any]') -> None:
        self.answer = answer

    def end(self, result: object) -> None:
        """Take a result; the later one is dropped."""
        if not self.answer.called:
            self.answer.callback(result)


class Ballot:
    """Answers to one poll.

    Attributes:
        reign: The allocator that the candidate has lost.
        links: Links to the other instances.
        answers: What they said.
        awaited: Instances that could answer.
        on_counted: Called once, when all have answered or the time is up.
    """

    def __init__(
        self,
        *,
        me: peer_messages.Instance,
        reign: election.Term,
        links: instance_links.InstanceLinks,
        awaited: frozenset[values.InstanceName],
        on_counted: Callable[['Ballot'], object],
    ) -> None:
        self.me = me
        self.reign = reign
        self.links = links
        self.awaited = awaited
        self.on_counted = on_counted
        self.is_counted = False
        self.answers: dict[values.InstanceName, peer_messages.PollAnswer] = {}
        links.on_link = self.ask
        links.on_message = self.take

    def ask(
        self, _: values.InstanceName, link: instance_links.LinkPort
    ) -> None:
        """Ask one instance."""
        link.send(peer_messages.Poll(token=self.reign.token, candidate=self.me))

    def take(self, name: values.InstanceName, message: Any) -> None:
        """Take an answer."""
        is_answer = isinstance(message, peer_messages.PollAnswer)
        if is_answer and name != self.me.name:
            self.answers[name] = message
        if not self.awaited.difference(self.answers, self.links.failed):
            self.count()

    def count(self) -> None:
        """Hand the answers over, once."""
        if not self.is_counted:
            self.is_counted = True
            self.on_counted(self)


class Candidate:
    """Waits its turn, polls the others, claims the token.

    Attributes:
        running: Whether it stands.
        alone_since_s: Since when nobody has answered its polls.
        reached: Instances that the last poll has reached.
        rivals: Token of another claim, and when it was first seen.
    """

    def __init__(
        self,
        *,
        follower: following.AllocatorFollower,
        known: directory.Directory,
        dialler: instance_links.DiallerPort,
        cluster: pool.ClusterPort,
        timer_service: timers.TimerService,
        book: decision_log.DecisionLog,
        on_elected: Elected,
    ) -> None:
        self.following = follower
        self.directory = known
        self.dialler = dialler
        self.cluster = cluster
        self.timers = timer_service
        self.journal = book
        self.on_elected = on_elected
        self.running = False
        self.withdrawn = False
        self.alone_since_s: float | None = None
        self.rivals: dict[values.Token, float] = {}
        self.reached: frozenset[values.InstanceName] = frozenset()

    def stand_again(self) -> None:
        """Stand after a poll that came to nothing."""
        self.stand(election.RETRY_TURN_INTERVAL_S)

    def stand(self, spacing_s: float = election.TURN_INTERVAL_S) -> None:
        """Stand, unless an allocator is heard or this one stands already.

        Args:
            spacing_s: Pause between the turns of two candidates, in seconds.
        """
        if (
            self.running
            or self.withdrawn
            or self.following.is_allocator_alive()
        ):
            return
        self.running = True
        turn_s = election.turn_delay_s(
            term=self.following.term,
            name=self.directory.local_instance.name,
            instances=[one.name for one in self.directory.ranked()],
            spacing_s=spacing_s,
        )
        self.timers.call_after(turn_s, self.poll)

    def poll(self) -> None:
        """Ask the others whether they hear the allocator."""
        if self.withdrawn or self.following.is_allocator_alive():
            self.running = False
            return
        links = instance_links.InstanceLinks(
            dialler=self.dialler,
            timer_service=self.timers,
            known=self.directory,
        )
        ballot = Ballot(
            me=self.directory.local_instance,
            reign=self.following.term,
            links=links,
            awaited=self.awaited(),
            on_counted=self.counted,
        )
        links.dial_all()
        self.timers.call_after(POLL_S, ballot.count)

    def awaited(self) -> frozenset[values.InstanceName]:
        """Return who could answer: all but this one and the lost one."""
        follower = self.following
        absent = {self.directory.local_instance.name, follower.term.allocator}
        return frozenset(self.directory.instances).difference(absent)

    def counted(self, ballot: 'Ballot') -> None:
        """Decide by the answers to a poll."""
        defer.ensureDeferred(self.decide(ballot))

    async def decide(self, ballot: 'Ballot') -> None:
        """Claim the token, or stand back."""
        reign = ballot.reign
        answers = tuple(ballot.answers.values())
        self.reached = frozenset(ballot.links.links)
        step = election.decide_after_poll(
            term=reign,
            others=len(self.directory.instances) - 1,
            answers=answers,
        )
        step = self.weigh_alone(step)
        elected: election.Term | None = None
        if step is election.PollDecision.CLAIM and not self.is_moot(reign):
            above = election.highest_token(reign, answers)
            elected = await self.claim(reign, above)
        self.journal.log_event(
            'candidate_polled',
            lost_token=reign.token,
            answers=len(answers),
            step=step.value,
            token=elected.token if elected else 0,
        )
        self.running = False
        if elected is None or self.is_moot(reign):
            ballot.links.end()
            self.timers.call_after(RETRY_S, self.stand_again)
            return
        self.on_elected(elected, ballot.links)

    def is_moot(self, reign: election.Term) -> bool:
        """Return whether somebody else allocates by now."""
        follower = self.following
        changed = follower.term.token != reign.token
        return changed or follower.is_allocator_alive() or self.withdrawn

    def weigh_alone(self, step: election.PollDecision) -> election.PollDecision:
        """Claim without an answer only after a while."""
        if step is not election.PollDecision.ISOLATED:
            self.alone_since_s = None
            return step
        now_s = self.timers.now()
        if self.alone_since_s is None:
            self.alone_since_s = now_s
        if now_s - self.alone_since_s < election.ISOLATED_EXTRA_DELAY_S:
            return step
        return election.PollDecision.CLAIM

    async def claim(
        self, reign: election.Term, above: values.Token
    ) -> election.Term | None:
        """Claim the token at the store, or use a reserved one.

        Args:
            reign: The lost allocator.
            above: Highest token that others have seen.
        """
        me = self.directory.local_instance.name
        row = await self.promptly(reign, self.cluster.read_allocator())
        if isinstance(row, platform.Away):
            return self.claim_reserved(reign, above)
        if row.token > reign.token and row.allocator != me:
            return await self.claim_after_other(reign, row, above)
        return await self.claim_row(reign, row, above)

    def promptly(
        self, reign: election.Term, call: Coroutine[Any, Any, Answer]
    ) -> 'defer.Deferred[Answer | platform.Away]':
        """Return the answer of the store, or that it is away.

        Where a token is reserved for this instance a slow store is not waited
        for; what it does late is a claim that nobody builds on.
        """
        answer: defer.Deferred[Any] = defer.Deferred()
        race = Race(answer=answer)
        if reign.reserved_token(self.directory.local_instance.name) is not None:
            slow = platform.Away(detail='slow')
            self.timers.call_after(PROMPT_S, lambda: race.end(slow))
        defer.ensureDeferred(call).addCallback(race.end)
        return answer

    async def claim_after_other(
        self,
        reign: election.Term,
        row: election.AllocatorRow,
        above: values.Token,
    ) -> election.Term | None:
        """Give an instance that has just claimed the time to call."""
        known = self.rivals.get(row.token)
        now_s = self.timers.now()
        if known is None:
            self.rivals = {row.token: now_s}
            return None
        if now_s - known < RIVAL_PATIENCE_S:
            return None
        return await self.claim_row(reign, row, above)

    async def claim_row(
        self,
        reign: election.Term,
        row: election.AllocatorRow,
        above: values.Token,
    ) -> election.Term | None:
        """Claim the token by compare-and-set on the row."""
        me = self.directory.local_instance.name
        token = row.next_token()
        claimed = await self.promptly(reign, self.cluster.claim(row, token, me))
        if isinstance(claimed, platform.Away):
            return self.claim_reserved(reign, above)
        if not isinstance(claimed, pool.Claimed):
            return None
        there = [
            one for one in self.directory.ranked() if one.name in self.reached
        ]
        reserve = election.choose_successors(me, there)
        return election.Term(
            token=token,
            allocator=me,
            successors=reserve,
            reserved_token_base=token,
        )

    def claim_reserved(
        self, reign: election.Term, above: values.Token
    ) -> election.Term | None:
        """Use the token that was reserved for this instance."""
        me = self.directory.local_instance.name
        token = reign.reserved_token(me, above)
        if token is None:
            return None
        return election.Term(
            token=token,
            allocator=me,
            successors=reign.successors,
            reserved_token_base=reign.reserved_token_base,
        )
