"""Links from a candidate or an allocator to every known instance."""

import collections
import enum
from collections.abc import Callable
from typing import Any, Final, Protocol

from guavaroad.domain.pool import peer_messages, values
from guavaroad.ports import timers
from guavaroad.services.pool import directory

# Delay before an instance is dialled again, in seconds.
REDIAL_DELAY_S: Final = 0.25
# Consecutive failed dials after which an instance counts as gone: about ten
# seconds, longer than most partitions. Its row stays in the directory; when it
# returns, its election poll calls for a dial.
GONE_AFTER_FAILURES: Final = 16
# Delay before an instance that counts as gone is dialled again, in seconds.
GONE_REDIAL_DELAY_S: Final = 2


class Loss(enum.Enum):
    """How a link was lost."""

    RESET = 'reset'
    TIMEOUT = 'silence'


class LinkPort(Protocol):
    """A link to one instance.

    Attributes:
        on_message: Called with each message that is received.
        on_lost: Called when the connection is lost.
        sent_s: Time of the last message that was sent, in seconds.
    """

    sent_s: float
    on_message: Callable[[Any], object]
    on_lost: Callable[[], object]

    def send(self, message: Any) -> None:
        """Send a message, possibly batched with later ones."""

    def flush(self) -> None:
        """Send the buffered messages."""

    def close(self) -> None:
        """Send the buffered messages and close the connection."""

    def abort(self) -> None:
        """Close the connection at once."""


class DiallerPort(Protocol):
    """Opens links."""

    def dial(
        self,
        address: str,
        on_connected: Callable[[LinkPort], object],
        on_failed: Callable[[], object],
    ) -> None:
        """Open a link; exactly one of the callbacks is called."""


class InstanceLinks:
    """One link to each instance, dialled again when it is lost.

    Attributes:
        links: Open links by instance.
        last_received_s: When the last message arrived, by instance.
        dialling: Instances that are being dialled, or are within the delay
            before they are dialled again.
        failed: Consecutive failed dials, by instance.
        closed: Whether the links were closed for good.
        last_redial_s: When `dial_again` last dialled.
        on_link: Called with each new link.
        on_message: Called with the instance and its message.
        on_lost: Called with the instance of a lost link, and how it was lost.
    """

    def __init__(
        self,
        *,
        dialler: DiallerPort,
        timer_service: timers.TimerService,
        instance_directory: directory.Directory,
    ) -> None:
        self.dialler = dialler
        self.timers = timer_service
        self.directory = instance_directory
        self.links: dict[values.InstanceName, LinkPort] = {}
        self.last_received_s: dict[values.InstanceName, float] = {}
        self.dialling: set[values.InstanceName] = set()
        self.failed: collections.Counter[values.InstanceName] = (
            collections.Counter()
        )
        self.closed = False
        self.last_redial_s = float(0)
        self.on_link: Callable[[values.InstanceName, LinkPort], object] = (
            _ignore
        )
        self.on_message: Callable[[values.InstanceName, Any], object] = _ignore
        self.on_lost: Callable[[values.InstanceName, Loss], object] = _ignore

    def dial_all(self) -> None:
        """Dial every instance that has no link and is not being dialled."""
        for instance in self.directory.all_instances():
            name = instance.name
            if name not in self.links and name not in self.dialling:
                self.dial(instance)

    def dial_again(self) -> None:
        """Dial every instance that has no link, even while a dial is pending.

        Called when a network path is known to work again: a dial that began
        before would first have to time out.
        """
        now_s = self.timers.now()
        if self.closed or now_s - self.last_redial_s < REDIAL_DELAY_S:
            return
        self.last_redial_s = now_s
        for instance in self.directory.all_instances():
            if instance.name not in self.links:
                self.dial(instance)

    def dial(self, instance: peer_messages.Instance) -> None:
        """Dial one instance."""
        name = instance.name
        self.dialling.add(name)
        self.dialler.dial(
            instance.address,
            lambda link: self.add_link(name, link),
            lambda: self.record_dial_failure(name),
        )

    def add_link(self, name: values.InstanceName, link: LinkPort) -> None:
        """Use a new link, unless the instance has one already."""
        self.dialling.discard(name)
        self.failed.pop(name, None)
        if self.closed or name in self.links:
            link.abort()
            return
        self.links[name] = link
        self.last_received_s[name] = self.timers.now()
        link.on_message = lambda message: self.receive(name, link, message)
        link.on_lost = lambda: self.record_loss(name, link)
        self.on_link(name, link)

    def record_dial_failure(self, name: values.InstanceName) -> None:
        """Allow the next dial of an instance after a delay."""
        self.failed[name] += 1
        is_gone = self.failed[name] >= GONE_AFTER_FAILURES
        delay_s = GONE_REDIAL_DELAY_S if is_gone else REDIAL_DELAY_S
        self.timers.call_after(delay_s, lambda: self.dialling.discard(name))

    def receive(
        self, name: values.InstanceName, link: LinkPort, message: Any
    ) -> None:
        """Pass on a message, unless its link was replaced."""
        if self.links.get(name) is link:
            self.last_received_s[name] = self.timers.now()
            self.on_message(name, message)

    def record_loss(
        self, name: values.InstanceName, link: LinkPort, how: Loss = Loss.RESET
    ) -> None:
        """Remove a lost link, and allow the next dial after a delay."""
        if self.links.get(name) is not link:
            return
        self.links.pop(name)
        self.dialling.add(name)
        self.timers.call_after(
            REDIAL_DELAY_S, lambda: self.dialling.discard(name)
        )
        self.on_lost(name, how)

    def drop_unresponsive(self, timeout_s: float) -> None:
        """Close links that have received nothing within a timeout."""
        oldest_s = self.timers.now() - timeout_s
        for name, link in tuple(self.links.items()):
            if self.last_received_s[name] < oldest_s:
                self.record_loss(name, link, Loss.TIMEOUT)
                link.abort()

    def close(self) -> None:
        """Close every link, and open no more.

        A link may be kept for some time, but keeps no allocator.
        """
        self.closed = True
        links = tuple(self.links.values())
        self.links = {}
        for link in links:
            link.close()
        self.on_link = _ignore
        self.on_message = _ignore
        self.on_lost = _ignore


def _ignore(*_: Any) -> None:
    """Ignore a call for which no callback is set."""
