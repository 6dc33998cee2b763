"""One election poll of a candidate."""

from collections.abc import Callable
from typing import Any

from guavaroad.domain.pool import election, peer_messages, values
from guavaroad.services.pool import instance_links


class PollRound:
    """Collects the answers to one election poll.

    Attributes:
        term: Term of the lost allocator.
        links: Links to the other instances.
        began_s: Time at which it began, in seconds.
        answers: Answers by instance.
        expected: Instances that may answer.
        on_finished: Called once, when every expected instance has answered or
            can't be reached, or after the timeout.
    """

    def __init__(
        self,
        *,
        local_instance: peer_messages.Instance,
        term: election.Term,
        links: instance_links.InstanceLinks,
        expected: frozenset[values.InstanceName],
        on_finished: Callable[['PollRound'], object],
    ) -> None:
        self.local_instance = local_instance
        self.term = term
        self.links = links
        self.began_s = links.timers.now()
        self.expected = expected
        self.on_finished = on_finished
        self.is_finished = False
        self.answers: dict[values.InstanceName, peer_messages.PollAnswer] = {}
        links.on_link = self.send_poll
        links.on_message = self.record_answer

    def send_poll(
        self, _: values.InstanceName, link: instance_links.LinkPort
    ) -> None:
        """Poll one instance."""
        link.send(
            peer_messages.Poll(
                token=self.term.token, candidate=self.local_instance
            )
        )

    def record_answer(self, name: values.InstanceName, message: Any) -> None:
        """Record an answer; finish the round if it was the last one."""
        is_answer = isinstance(message, peer_messages.PollAnswer)
        if is_answer and name != self.local_instance.name:
            self.answers[name] = message
        if self.is_complete() or election.is_conclusive(
            term=self.term,
            others=len(self.links.directory.instances) - 1,
            answers=self.answers.values(),
        ):
            self.finish()

    def is_complete(self) -> bool:
        """Return whether no further answer is expected."""
        return not self.expected.difference(self.answers, self.links.failed)

    def finish(self) -> None:
        """Report the answers, unless they were reported already."""
        if not self.is_finished:
            self.is_finished = True
            self.on_finished(self)
