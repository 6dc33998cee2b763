"""Processes the messages of instances to the allocator."""

from collections.abc import Callable
from typing import Any

from guavaroad.domain.pool import (
    agent_messages,
    allocator,
    messages,
    peer_messages,
    values,
)
from guavaroad.ports import pool, timers
from guavaroad.services.pool import (
    agent_calls,
    configuration_watch,
    follow_requests,
    store_reader,
)


class AllocatorInbox:
    """Passes each message to the part of the allocator that it is about.

    Attributes:
        machine: State machine that makes the decisions.
        calls: Calls to workers.
        follow_requests: Relations to the instances.
        configuration: Configuration in force.
        store_reader: Applies the worker list.
        timers: Clock.
        on_change: Called when a message may change a decision.
        on_superseded: Called when an instance follows a higher token.
    """

    def __init__(
        self,
        *,
        machine: allocator.Allocator,
        calls: agent_calls.AgentCalls,
        requests: follow_requests.FollowRequests,
        configuration: configuration_watch.ConfigurationWatch,
        reader: store_reader.StoreReader,
        on_change: Callable[[], object],
        on_superseded: Callable[[peer_messages.Superseded], object],
    ) -> None:
        self.machine = machine
        self.calls = calls
        self.follow_requests = requests
        self.configuration = configuration
        self.store_reader = reader
        self.on_change = on_change
        self.on_superseded = on_superseded

    @property
    def timers(self) -> timers.TimerService:
        """Return the clock."""
        return self.calls.timers

    def receive(self, name: values.InstanceName, message: Any) -> None:
        """Process a message of an instance."""
        self.record_contact(name, message)
        match message:
            case messages.Declare() | messages.Withdraw():
                self.receive_about_job(name, message)
            case (
                agent_messages.WorkerReport()
                | agent_messages.CallAnswered()
                | agent_messages.CallUnanswered()
            ):
                self.calls.receive(message)
            case agent_messages.NotLaunched():
                self.calls.starts.on_not_launched(name, message)
            case peer_messages.FollowerState():
                self.calls.on_announced(name, message.agent_version)
                self.configuration.evacuations.receive(message.evacuated, name)
                self.follow_requests.send_mode(name)
                self.follow_requests.broadcaster.record_state(name, message)
            case peer_messages.Superseded():
                self.on_superseded(message)
            case _:
                self.receive_state(name, message)

    def record_contact(self, name: values.InstanceName, message: Any) -> None:
        """Record that an instance follows this allocator, if it does."""
        match message:
            case peer_messages.Superseded():
                pass
            case peer_messages.OwnerBeat():
                self.machine.orphans.on_owner_beat(name, message.answered_ms)
            case _:
                self.machine.orphans.on_owner_heard(name)

    def receive_about_job(
        self,
        owner: values.InstanceName,
        message: messages.Declare | messages.Withdraw,
    ) -> None:
        """Process a message of an owner about a job."""
        admission = self.machine.job_admission
        match message:
            case messages.Declare():
                admission.declare(owner, message, self.timers.now())
            case messages.Withdraw():
                admission.withdraw(owner, message)
        self.on_change()

    def receive_state(self, name: values.InstanceName, message: Any) -> None:
        """Process a message about shared state."""
        match message:
            case peer_messages.OwnerBeat():
                self.configuration.evacuations.receive(message.evacuated, name)
                self.follow_requests.broadcaster.send_configuration(
                    name, message.config_version, self.timers.now()
                )
            case peer_messages.SharedConfig():
                self.configuration.apply(message.body, name)
            case peer_messages.SharedWorkers():
                self.store_reader.apply_worker_rows(
                    pool.WorkerRows(rows=message.rows)
                )
