"""Links from a candidate or an allocator to every known instance."""

import enum
from collections.abc import Callable
from typing import Any, Final, Protocol

from guavaroad.domain.pool import peer_messages, values
from guavaroad.ports import timers
from guavaroad.services.pool import directory

# Pause before an instance is dialled again, in seconds.
REDIAL_S: Final = 0.25


class Loss(enum.Enum):
    """How a link was lost."""

    RESET = 'reset'
    TIMEOUT = 'silence'


class LinkPort(Protocol):
    """A link to one instance."""

    on_message: Callable[[Any], object]
    on_lost: Callable[[], object]

    def send(self, message: Any) -> None:
        """Send a message."""

    def flush(self) -> None:
        """Send what has gathered."""

    def close(self) -> None:
        """Send what has gathered, and close."""

    def abort(self) -> None:
        """Close at once."""


class DiallerPort(Protocol):
    """Makes links."""

    def dial(
        self,
        address: str,
        on_made: Callable[[LinkPort], object],
        on_failed: Callable[[], object],
    ) -> None:
        """Make a link; one of the callbacks is called once."""


class InstanceLinks:
    """One link to each instance, dialled again when lost.

    Attributes:
        links: Open links by instance.
        dialling: Instances that are being dialled, or wait for it.
        failed: Instances whose last dialling failed.
        dialled_again_s: When all that lacked a link were last dialled at once.
        on_link: Called with each new link.
        on_message: Called with the instance and its message.
        on_lost: Called with the instance of a lost link, and how it was lost.
    """

    def __init__(
        self,
        *,
        dialler: DiallerPort,
        timer_service: timers.TimerService,
        known: directory.Directory,
    ) -> None:
        self.dialler = dialler
        self.timers = timer_service
        self.directory = known
        self.links: dict[values.InstanceName, LinkPort] = {}
        self.heard_s: dict[values.InstanceName, float] = {}
        self.dialling: set[values.InstanceName] = set()
        self.failed: set[values.InstanceName] = set()
        self.ended = False
        self.dialled_again_s = float(0)
        self.on_link: Callable[[values.InstanceName, LinkPort], object] = _none
        self.on_message: Callable[[values.InstanceName, Any], object] = _none
        self.on_lost: Callable[[values.InstanceName, Loss], object] = _none

    def dial_all(self) -> None:
        """Dial every instance that has no link."""
        for instance in self.directory.everyone():
            name = instance.name
            if name not in self.links and name not in self.dialling:
                self.dial(instance)

    def dial_again(self) -> None:
        """Dial every instance that has no link, beside dials that hang.

        Called when a network path is known to be back: a dial from before
        would first have to time out.
        """
        now_s = self.timers.now()
        if self.ended or now_s - self.dialled_again_s < REDIAL_S:
            return
        self.dialled_again_s = now_s
        for instance in self.directory.everyone():
            if instance.name not in self.links:
                self.dial(instance)

    def dial(self, instance: peer_messages.Instance) -> None:
        """Dial one instance."""
        name = instance.name
        self.dialling.add(name)
        self.dialler.dial(
            instance.address,
            lambda link: self.made(name, link),
            lambda: self.dial_failed(name),
        )

    def made(self, name: values.InstanceName, link: LinkPort) -> None:
        """Use a new link."""
        self.dialling.discard(name)
        self.failed.discard(name)
        if self.ended or name in self.links:
            link.abort()
            return
        self.links[name] = link
        self.heard_s[name] = self.timers.now()
        link.on_message = lambda message: self.received(name, link, message)
        link.on_lost = lambda: self.record_loss(name, link)
        self.on_link(name, link)

    def dial_failed(self, name: values.InstanceName) -> None:
        """Wait a little before the next try."""
        self.failed.add(name)
        self.timers.call_after(REDIAL_S, lambda: self.dialling.discard(name))

    def received(
        self, name: values.InstanceName, link: LinkPort, message: Any
    ) -> None:
        """Hand on a message."""
        if self.links.get(name) is link:
            self.heard_s[name] = self.timers.now()
            self.on_message(name, message)

    def record_loss(
        self, name: values.InstanceName, link: LinkPort, how: Loss = Loss.RESET
    ) -> None:
        """Note a lost link, and dial again after a while."""
        if self.links.get(name) is not link:
            return
        self.links.pop(name)
        self.dialling.add(name)
        self.timers.call_after(REDIAL_S, lambda: self.dialling.discard(name))
        self.on_lost(name, how)

    def drop_silent(self, silence_s: float) -> None:
        """Close links from which nothing came for a time."""
        oldest_s = self.timers.now() - silence_s
        for name, link in tuple(self.links.items()):
            if self.heard_s[name] < oldest_s:
                self.record_loss(name, link, Loss.TIMEOUT)
                link.abort()

    def end(self) -> None:
        """Close every link."""
        self.ended = True
        links = tuple(self.links.values())
        self.links = {}
        for link in links:
            link.close()


def _none(*_: Any) -> None:
    """Take what nobody waits for."""
