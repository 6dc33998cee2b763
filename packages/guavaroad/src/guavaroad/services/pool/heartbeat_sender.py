"""Sends the allocator's heartbeats, and checks that the instances answer."""

from guavaroad.domain import units
from guavaroad.domain.pool import (
    beat_schedule,
    election,
    peer_messages,
    stall_guard,
    values,
)
from guavaroad.services.pool import (
    agent_calls,
    configuration_watch,
    instance_links,
    state_broadcaster,
    store_reader,
)


class HeartbeatSender:
    """Keeps the links to the instances alive.

    Attributes:
        links: Links to the instances.
        calls: Calls to workers, some of which the instances make.
        broadcaster: Sends the state that instances lack.
        configuration: Configuration in force.
        store_reader: Has the age of the worker list.
        stall_guard: Skips the check after a pause of this process.
        beat_s: Time of the last heartbeat to each instance, in seconds.
    """

    def __init__(
        self,
        *,
        links: instance_links.InstanceLinks,
        calls: agent_calls.AgentCalls,
        broadcaster: state_broadcaster.StateBroadcaster,
        configuration: configuration_watch.ConfigurationWatch,
        reader: store_reader.StoreReader,
    ) -> None:
        self.links = links
        self.calls = calls
        self.broadcaster = broadcaster
        self.configuration = configuration
        self.store_reader = reader
        self.stall_guard = stall_guard.StallGuard(now_s=calls.timers.now())
        self.beat_s: dict[values.InstanceName, float] = {}

    def send_all(self) -> None:
        """Send due heartbeats, and dial the instances that have no link."""
        beat = self.heartbeat()
        now_s = self.calls.timers.now()
        for name, link in tuple(self.links.links.items()):
            if beat_schedule.is_due(
                now_s=now_s,
                sent_s=link.sent_s,
                received_s=self.links.last_received_s[name],
                beat_s=self.beat_s.get(name, 0),
            ):
                self.beat_s[name] = now_s
                link.send(beat)
        self.broadcaster.send_pending()
        self.links.dial_all()

    def heartbeat(self) -> peer_messages.AllocatorBeat:
        """Return a heartbeat message."""
        now_s = self.calls.timers.now()
        return peer_messages.AllocatorBeat(
            config_version=self.configuration.version(),
            list_age_ms=units.to_ms(now_s - self.store_reader.updated_s),
            evacuated=self.configuration.evacuations.current,
            sent_ms=units.to_ms(now_s),
        )

    def check(self) -> None:
        """Drop links and calls without an answer in time."""
        if self.stall_guard.is_on_time(self.calls.timers.now()):
            self.links.drop_unresponsive(election.ALLOCATOR_TIMEOUT_S)
            self.calls.check()
