"""Follows the allocator with the highest token that has called."""

import dataclasses
from collections.abc import Callable
from typing import Any

from guavaroad.domain import units
from guavaroad.domain.pool import messages, peer_messages, succession
from guavaroad.ports import pool, timers
from guavaroad.services.pool import (
    configuration_watch,
    directory,
    fan_out,
    helping,
    journal,
    owner_desk,
)


class Following:
    """The link to the allocator.

    Attributes:
        reign: The allocator that is followed, or was last.
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
        book: journal.Journal,
    ) -> None:
        self.desk = desk
        self.directory = known
        self.configuration = configuration
        self.timers = timer_service
        self.journal = book
        self.reign = succession.NO_REIGN
        self.link: fan_out.LinkPort | None = None
        self.heard_s = timer_service.now()
        self.rows: pool.WorkerRows | None = None
        self.helper = helping.Helper(
            cluster=cluster,
            configuration=configuration,
            timer_service=timer_service,
        )
        self.on_reign: Callable[[succession.Reign], object] = _none
        self.on_lost: Callable[[], object] = _none
        self.on_poll: Callable[[], object] = _none

    def accepted(self, link: fan_out.LinkPort) -> None:
        """Take a link that another instance has made."""
        link.on_message = lambda message: self.received(link, message)
        link.on_lost = lambda: self.link_lost(link)

    def received(self, link: fan_out.LinkPort, message: Any) -> None:
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
            token=self.reign.token, heard_ago_ms=heard_ago_ms
        )

    def follow(
        self, link: fan_out.LinkPort, message: peer_messages.Follow
    ) -> None:
        """Follow an allocator, unless one with a higher token is known."""
        if message.token < self.reign.token:
            link.send(
                peer_messages.Superseded(
                    token=self.reign.token, holder=self.reign.holder
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
        self.journal.say(
            'allocator_followed',
            token=message.token,
            holder=message.holder,
            before=self.reign.token,
            open_jobs=len(self.desk.jobs),
        )
        self.reign = succession.Reign(
            token=message.token,
            holder=message.holder,
            reserve=message.reserve,
            reserve_base=message.reserve_base,
        )
        self.on_reign(self.reign)
        self.desk.linked(link, message.token, remembered=message.remembers)

    def heard(self, link: fan_out.LinkPort, message: Any) -> None:
        """Take a message of the allocator."""
        match message:
            case peer_messages.AllocatorBeat():
                self.helper.answer(link, message, self.reign.holder)
            case peer_messages.Reserved():
                self.reign = dataclasses.replace(
                    self.reign, reserve=message.reserve
                )
            case peer_messages.SharedWorkers():
                self.rows = pool.WorkerRows(rows=message.rows)
            case peer_messages.SharedDirectory():
                self.directory.merge(message.instances)
            case peer_messages.SharedConfig():
                self.configuration.take(message.body, self.reign.holder)
            case peer_messages.Retiring():
                self.journal.say('allocator_retired', token=self.reign.token)
                link.close()
                self.link_lost(link)
            case messages.Begun() | messages.Ended() | messages.GivenUp():
                self.desk.take(message)

    def is_followed(self) -> bool:
        """Return whether an allocator is heard."""
        if self.link is None:
            return False
        return self.timers.now() - self.heard_s < succession.SILENCE_S

    def drop_silent(self) -> None:
        """Close the link of an allocator that says nothing."""
        if self.link is not None and not self.is_followed():
            self.journal.say(
                'allocator_silent',
                token=self.reign.token,
                holder=self.reign.holder,
                silent_ms=units.to_ms(self.timers.now() - self.heard_s),
            )
            link = self.link
            self.link_lost(link)
            link.abort()

    def link_lost(self, link: fan_out.LinkPort) -> None:
        """Note that the allocator is lost."""
        if link is not self.link:
            return
        self.link = None
        self.desk.unlinked()
        self.journal.say(
            'allocator_lost',
            token=self.reign.token,
            holder=self.reign.holder,
            open_jobs=len(self.desk.jobs),
        )
        self.on_lost()


def _none(*_: Any) -> None:
    """Take what nobody waits for."""
