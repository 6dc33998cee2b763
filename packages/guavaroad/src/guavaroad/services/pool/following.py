"""Follows the allocator with the highest token that has called."""

import dataclasses
from collections.abc import Callable
from typing import Any

from guavaroad.domain import units
from guavaroad.domain.pool import election, messages, peer_messages
from guavaroad.ports import pool, timers
from guavaroad.services.pool import (
    configuration_watch,
    decision_log,
    directory,
    helping,
    instance_links,
    owner_desk,
)


class AllocatorFollower:
    """The link to the allocator.

    Attributes:
        term: The allocator that is followed, or was last.
        link: The link to it, while there is one.
        rows: List of workers, as the allocator has last shared it.
        heard_s: When it last said something.
        helper: Answers its heartbeats.
        on_reign: Called with each allocator that is followed.
        on_lost: Called when the allocator is lost.
        on_poll: Called when a candidate has asked.
    """

    def __init__(
        self,
        *,
        desk: owner_desk.OwnerDesk,
        known: directory.Directory,
        configuration: configuration_watch.ConfigurationWatch,
        cluster: pool.ClusterPort,
        timer_service: timers.TimerService,
        book: decision_log.DecisionLog,
    ) -> None:
        self.desk = desk
        self.directory = known
        self.configuration = configuration
        self.timers = timer_service
        self.journal = book
        self.term = election.NO_TERM
        self.link: instance_links.LinkPort | None = None
        self.heard_s = timer_service.now()
        self.rows: pool.WorkerRows | None = None
        self.helper = helping.Helper(
            cluster=cluster,
            configuration=configuration,
            timer_service=timer_service,
        )
        self.on_reign: Callable[[election.Term], object] = _none
        self.on_lost: Callable[[], object] = _none
        self.on_poll: Callable[[], object] = _none

    def accept(self, link: instance_links.LinkPort) -> None:
        """Take a link that another instance has made."""
        link.on_message = lambda message: self.received(link, message)
        link.on_lost = lambda: self.link_lost(link)

    def received(self, link: instance_links.LinkPort, message: Any) -> None:
        """Take a message."""
        match message:
            case peer_messages.Follow():
                self.follow(link, message)
            case peer_messages.Poll():
                self.directory.merge((message.candidate,))
                link.send(self.poll_answer())
                self.on_poll()
            case _ if link is self.link:
                self.heard_s = self.timers.now()
                self.heard(link, message)

    def poll_answer(self) -> peer_messages.PollAnswer:
        """Return what a candidate is told."""
        heard_ago_ms = -1
        if self.link is not None:
            ago_s = self.timers.now() - self.heard_s
            heard_ago_ms = units.to_ms(ago_s)
        return peer_messages.PollAnswer(
            token=self.term.token, last_message_age_ms=heard_ago_ms
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
        before = self.link
        self.link = link
        if before is not None:
            self.desk.unlinked()
            before.abort()
        self.heard_s = self.timers.now()
        self.directory.merge(message.instances)
        self.journal.log_event(
            'allocator_followed',
            token=message.token,
            holder=message.allocator,
            before=self.term.token,
            open_jobs=len(self.desk.jobs),
        )
        self.term = election.Term(
            token=message.token,
            allocator=message.allocator,
            successors=message.successors,
            reserved_token_base=message.reserved_token_base,
        )
        self.on_reign(self.term)
        self.desk.linked(
            link, message.token, remembered=message.has_declared_jobs
        )

    def heard(self, link: instance_links.LinkPort, message: Any) -> None:
        """Take a message of the allocator."""
        match message:
            case peer_messages.AllocatorBeat():
                self.helper.answer(link, message, self.term.allocator)
            case peer_messages.Reserved():
                self.term = dataclasses.replace(
                    self.term, successors=message.successors
                )
            case peer_messages.SharedWorkers():
                self.rows = pool.WorkerRows(rows=message.rows)
            case peer_messages.SharedDirectory():
                self.directory.merge(message.instances)
            case peer_messages.SharedConfig():
                self.configuration.take(message.body, self.term.allocator)
            case peer_messages.Retiring():
                self.journal.log_event(
                    'allocator_retired', token=self.term.token
                )
                link.close()
                self.link_lost(link)
            case messages.Begun() | messages.Ended() | messages.GivenUp():
                self.desk.take(message)

    def is_allocator_alive(self) -> bool:
        """Return whether an allocator is heard."""
        if self.link is None:
            return False
        return self.timers.now() - self.heard_s < election.ALLOCATOR_TIMEOUT_S

    def drop_silent(self) -> None:
        """Close the link of an allocator that says nothing."""
        if self.link is not None and not self.is_allocator_alive():
            self.journal.log_event(
                'allocator_silent',
                token=self.term.token,
                holder=self.term.allocator,
                silent_ms=units.to_ms(self.timers.now() - self.heard_s),
            )
            link = self.link
            self.link_lost(link)
            link.abort()

    def link_lost(self, link: instance_links.LinkPort) -> None:
        """Note that the allocator is lost."""
        if link is not self.link:
            return
        self.link = None
        self.desk.unlinked()
        self.journal.log_event(
            'allocator_lost',
            token=self.term.token,
            holder=self.term.allocator,
            open_jobs=len(self.desk.jobs),
        )
        self.on_lost()


def _none(*_: Any) -> None:
    """Take what nobody waits for."""
