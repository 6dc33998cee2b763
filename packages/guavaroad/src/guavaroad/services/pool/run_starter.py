"""Sends the starts of an owner's jobs to the agents of their workers."""

import collections
import dataclasses
from collections.abc import Callable
from typing import Any, Final

from guavaroad.domain.pool import agent_messages, values
from guavaroad.ports import timers
from guavaroad.services.pool import directory, instance_links, worker_agent

# Period of checking for agents that do not respond, in seconds.
CHECK_PERIOD_S: Final = 0.05
# Time for an agent to accept a connection, in seconds. Starts that still wait
# are reported as not sent, so that the allocator can choose another way.
CONNECT_TIMEOUT_S: Final = 0.1
# Time for an agent to confirm a message, in seconds. A connection may become
# silent for good without a reset, while a new one works.
CONFIRM_TIMEOUT_S: Final = 0.3
# Time for which nothing is sent to an agent that did not respond, in seconds.
UNREACHABLE_PAUSE_S: Final = 1

Starts = tuple[agent_messages.Start, ...]
OnRejected = Callable[[tuple[agent_messages.CallNumber, ...]], object]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Shipment:
    """A message to an agent that it has not confirmed.

    Attributes:
        message: The message.
        on_rejected: Called with the calls that the agent does not make.
        since_s: Time at which it was queued or sent, in seconds.
    """

    message: agent_messages.StartRuns
    on_rejected: OnRejected
    since_s: float

    def reject(self) -> None:
        """Report that none of the starts was sent."""
        self.on_rejected(tuple(start.call for start in self.message.starts))


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class AgentLink:
    """The connection from this instance to one agent.

    Attributes:
        link: Open link; none while it is dialled or after a failure.
        is_dialling: Whether a dial is in progress.
        queued: Messages that wait for the connection.
        unconfirmed: Sent messages by their number, the oldest first.
        paused_until_s: Until this time nothing is sent.
    """

    link: instance_links.LinkPort | None = None
    is_dialling: bool = False
    queued: list[Shipment] = dataclasses.field(default_factory=list)
    unconfirmed: collections.OrderedDict[int, Shipment] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    paused_until_s: float = 0


class RunStarter:
    """Sends start orders to agents over direct links, dialled on demand.

    Attributes:
        local_agent: Agent of this instance.
        links: Links by agent.
        sequence: Number of the last message.
    """

    def __init__(
        self,
        *,
        local_agent: worker_agent.WorkerAgent,
        instance_directory: directory.Directory,
        dialler: instance_links.DiallerPort,
        timer_service: timers.TimerService,
    ) -> None:
        self.local_agent = local_agent
        self.directory = instance_directory
        self.dialler = dialler
        self.timers = timer_service
        self.links: dict[values.InstanceName, AgentLink] = {}
        self.sequence = 0
        timer_service.subscribe(CHECK_PERIOD_S, self.check)

    def send(
        self,
        *,
        agent: values.InstanceName,
        token: values.Token,
        payload: str,
        starts: Starts,
        on_rejected: OnRejected,
    ) -> None:
        """Send start orders for workers of one agent.

        Args:
            agent: The agent.
            token: Fencing token of the allocator that decided the starts.
            payload: Payload of every task.
            starts: The starts.
            on_rejected: Called with the calls that were certainly not made, if
                there are any.
        """
        self.sequence += 1
        shipment = Shipment(
            message=agent_messages.StartRuns(
                sequence=self.sequence,
                token=token,
                payload=payload,
                starts=starts,
            ),
            on_rejected=on_rejected,
            since_s=self.timers.now(),
        )
        if agent == self.directory.local_instance.name:
            rejected = self.local_agent.start_runs(shipment.message)
            if rejected:
                on_rejected(rejected)
            return
        self.ship(agent, shipment)

    def ship(self, agent: values.InstanceName, shipment: Shipment) -> None:
        """Send a message to another instance, or queue it until connected."""
        agent_link = self.links.setdefault(agent, AgentLink())
        instance = self.directory.instances.get(agent)
        if instance is None or shipment.since_s < agent_link.paused_until_s:
            shipment.reject()
        elif agent_link.link is None:
            agent_link.queued.append(shipment)
            self.dial(agent_link, instance.address)
        else:
            self.transmit(agent_link, shipment)

    def dial(self, agent_link: AgentLink, address: str) -> None:
        """Connect to an agent, unless a dial is in progress."""
        if agent_link.is_dialling:
            return
        agent_link.is_dialling = True
        self.dialler.dial(
            address,
            lambda link: self.on_connected(agent_link, link),
            lambda: self.on_dial_failed(agent_link),
        )

    def transmit(self, agent_link: AgentLink, shipment: Shipment) -> None:
        """Write a message to an open link."""
        if agent_link.link is not None:
            shipment.since_s = self.timers.now()
            agent_link.unconfirmed[shipment.message.sequence] = shipment
            agent_link.link.send(shipment.message)

    def on_connected(
        self, agent_link: AgentLink, link: instance_links.LinkPort
    ) -> None:
        """Send the messages that waited for the connection."""
        agent_link.is_dialling = False
        agent_link.link = link
        link.on_message = lambda message: self.receive(agent_link, message)
        link.on_lost = lambda: self.on_lost(agent_link, link)
        queued = agent_link.queued
        agent_link.queued = []
        for shipment in queued:
            self.transmit(agent_link, shipment)

    def on_dial_failed(self, agent_link: AgentLink) -> None:
        """Report the messages that waited for the connection as not sent."""
        agent_link.is_dialling = False
        self.pause(agent_link)

    def pause(self, agent_link: AgentLink) -> None:
        """Send nothing to an agent for some time."""
        agent_link.paused_until_s = self.timers.now() + UNREACHABLE_PAUSE_S
        queued = agent_link.queued
        agent_link.queued = []
        for shipment in queued:
            shipment.reject()

    def on_lost(
        self, agent_link: AgentLink, link: instance_links.LinkPort
    ) -> None:
        """Forget a lost link.

        The agent may have received the unconfirmed messages: the allocator
        treats their starts as unanswered after its time-out.
        """
        if agent_link.link is link:
            agent_link.link = None
            agent_link.unconfirmed.clear()

    def receive(self, agent_link: AgentLink, message: Any) -> None:
        """Process a confirmation of an agent."""
        match message:
            case agent_messages.StartsReceived():
                shipment = agent_link.unconfirmed.pop(message.sequence, None)
                if shipment is not None and message.rejected:
                    shipment.on_rejected(message.rejected)

    def check(self) -> None:
        """Pause the agents that do not respond."""
        now_s = self.timers.now()
        for agent_link in self.links.values():
            oldest = next(iter(agent_link.unconfirmed.values()), None)
            link = agent_link.link
            if (
                link is not None
                and oldest is not None
                and oldest.since_s < now_s - CONFIRM_TIMEOUT_S
            ):
                self.on_lost(agent_link, link)
                link.abort()
                self.pause(agent_link)
            if (
                agent_link.queued
                and agent_link.queued[0].since_s < now_s - CONNECT_TIMEOUT_S
            ):
                self.pause(agent_link)
