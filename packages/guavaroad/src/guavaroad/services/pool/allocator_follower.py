"""Follows the allocator with the highest token that has connected."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    agent_messages,
    election,
    messages,
    peer_messages,
    stall_guard,
)
from guavaroad.services.pool import (
    dependencies,
    heartbeat_responder,
    instance_links,
    job_launcher,
    shared_state,
    worker_agent,
)

# Longest time without a message of the allocator after which the next ones may
# order starts, in seconds: a lease. It gives this instance up before that.
MAX_SILENCE_S: Final = 2 * election.ALLOCATOR_TIMEOUT_S


class AllocatorFollower:
    """The link from this instance to the allocator.

    Attributes:
        term: Term of the current allocator, or of the last one.
        link: Link to the current allocator; none if there is none.
        shared_state: State that allocators have sent.
        job_launcher: Sends the start orders of this instance's jobs.
        last_received_s: When the last message of the allocator arrived.
        heartbeat_responder: Answers the allocator's heartbeats.
        worker_agent: Makes the calls to workers that the allocator decides.
        on_term: Called with each new term.
        on_lost: Called when the allocator is lost.
        on_poll: Called when a candidate polls this instance.
    """

    def __init__(
        self,
        *,
        agent: worker_agent.WorkerAgent,
        launcher: job_launcher.JobLauncher,
        state: shared_state.SharedState,
        deps: dependencies.Dependencies,
    ) -> None:
        self.job_owner = launcher.job_owner
        self.job_launcher = launcher
        self.worker_agent = agent
        self.shared_state = state
        self.timers = deps.timers
        self.decision_log = deps.decision_log
        self.term = election.NO_TERM
        self.link: instance_links.LinkPort | None = None
        self.last_received_s = deps.timers.now()
        self.stall_guard = stall_guard.StallGuard(now_s=self.last_received_s)
        self.heartbeat_responder = heartbeat_responder.HeartbeatResponder(
            instance_directory=state.directory,
            cluster=deps.cluster,
            list_period_s=deps.worker_list_period_s,
            configuration=state.configuration,
            timer_service=deps.timers,
        )
        self.on_term: Callable[[election.Term], object] = _ignore
        self.on_lost: Callable[[], object] = _ignore
        self.on_poll: Callable[[], object] = _ignore

    def accept(self, link: instance_links.LinkPort) -> None:
        """Accept a link that another instance has opened."""
        link.on_message = lambda message: self.receive(link, message)
        link.on_lost = lambda: self.record_link_loss(link)

    def receive(self, link: instance_links.LinkPort, message: Any) -> None:
        """Process a message of a candidate or an allocator."""
        match message:
            case peer_messages.Follow():
                self.follow(link, message)
            case peer_messages.Poll():
                self.shared_state.directory.merge((message.candidate,))
                link.send(self.poll_answer())
                self.on_poll()
            case agent_messages.StartRuns():
                self.check_pause()
                link.send(
                    agent_messages.StartsReceived(
                        sequence=message.sequence,
                        rejected=self.worker_agent.start_runs(message),
                    )
                )
            case _ if link is self.link:
                self.check_pause()
                self.last_received_s = self.timers.now()
                self.receive_from_allocator(link, message)

    def poll_answer(self) -> peer_messages.PollAnswer:
        """Return the answer to a candidate's poll."""
        last_message_age_ms = -1
        if self.link is not None:
            age_s = self.timers.now() - self.last_received_s
            last_message_age_ms = units.to_ms(age_s)
        return peer_messages.PollAnswer(
            token=self.term.token, last_message_age_ms=last_message_age_ms
        )

    def follow(
        self, link: instance_links.LinkPort, message: peer_messages.Follow
    ) -> None:
        """Follow an allocator, unless one with a higher token is known."""
        if message.token < self.term.token:
            link.send(
                peer_messages.Superseded(
                    token=self.term.token, allocator=self.term.allocator
                )
            )
            link.close()
            return
        previous_link = self.link
        self.link = link
        if previous_link is not None:
            self.job_owner.on_allocator_lost()
            previous_link.abort()
        self.last_received_s = self.timers.now()
        self.shared_state.directory.merge(message.instances)
        self.decision_log.log_event(
            'allocator_followed',
            token=message.token,
            holder=message.allocator,
            before=self.term.token,
            open_jobs=len(self.job_owner.jobs),
        )
        self.term = election.Term(
            token=message.token,
            allocator=message.allocator,
            successors=message.successors,
            reserved_token_base=message.reserved_token_base,
        )
        self.worker_agent.follow(message.token, link)
        if message.agent_version:
            link.send(self.shared_state.digests())
        self.on_term(self.term)
        self.job_owner.on_allocator_linked(
            link,
            message.token,
            has_declared_jobs=message.has_declared_jobs,
            launches=message.owners_launch,
        )

    def receive_from_allocator(
        self, link: instance_links.LinkPort, message: Any
    ) -> None:
        """Process a message of the current allocator."""
        match message:
            case peer_messages.AllocatorBeat():
                self.heartbeat_responder.respond(link, message, self.term)
                self.job_owner.contact.on_beat(message)
            case peer_messages.Reserved():
                self.term = dataclasses.replace(
                    self.term, successors=message.successors
                )
            case peer_messages.Retiring():
                self.decision_log.log_event(
                    'allocator_retired', token=self.term.token
                )
                link.close()
                self.record_link_loss(link)
            case messages.Begun() | messages.Ended() | messages.GivenUp():
                self.job_owner.receive(message)
            case agent_messages.LaunchRuns():
                self.job_launcher.launch(
                    message, is_outdated=self.is_outdated()
                )
            case agent_messages.LaunchMode():
                self.job_owner.launches = message.owners_launch
            case _:
                self.shared_state.receive(message, self.term.allocator)
                self.worker_agent.receive(message)

    def is_allocator_alive(self) -> bool:
        """Return whether a message has come within the allocator timeout."""
        if self.link is None:
            return False
        return (
            self.timers.now() - self.last_received_s
            < election.ALLOCATOR_TIMEOUT_S
        )

    def is_outdated(self) -> bool:
        """Return whether the link orders nothing any more, after a pause."""
        return self.link is not None and self.worker_agent.session is None

    def drop_unresponsive(self) -> None:
        """Close the link to an allocator that has timed out.

        An outdated link is closed as well, once its messages were read.
        """
        on_time = self.stall_guard.is_on_time(self.timers.now())
        is_over = self.is_outdated() or not self.is_allocator_alive()
        if on_time and self.link is not None and is_over:
            self.decision_log.log_event(
                'allocator_silent',
                token=self.term.token,
                holder=self.term.allocator,
                silent_ms=units.to_ms(self.timers.now() - self.last_received_s),
            )
            link = self.link
            self.record_link_loss(link)
            link.abort()

    def check_pause(self) -> None:
        """Carry out no orders that have arrived in a long pause.

        Their leases are over, so the workers would refuse them. Messages about
        jobs are still true.
        """
        if self.timers.now() - self.last_received_s > MAX_SILENCE_S:
            self.worker_agent.unfollow()

    def record_link_loss(self, link: instance_links.LinkPort) -> None:
        """Record that the link to the allocator is lost."""
        if link is not self.link:
            return
        self.link = None
        self.worker_agent.unfollow()
        self.job_owner.on_allocator_lost()
        self.decision_log.log_event(
            'allocator_lost',
            token=self.term.token,
            holder=self.term.allocator,
            open_jobs=len(self.job_owner.jobs),
        )
        self.on_lost()


def _ignore(*_: Any) -> None:
    """Ignore a call for which no callback is set."""
