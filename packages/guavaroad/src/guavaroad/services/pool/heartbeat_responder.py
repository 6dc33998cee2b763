"""Answers the allocator's heartbeats, and sends it the data that it lacks."""

from typing import Final

from twisted.internet import defer

from guavaroad.domain.pool import (
    election,
    list_relay,
    peer_messages,
    resend_backoff,
    values,
)
from guavaroad.ports import pool, timers
from guavaroad.services.pool import (
    configuration_watch,
    directory,
    instance_links,
)

# Minimum interval between two reads of the worker list for the allocator, in
# seconds.
READ_INTERVAL_S: Final = 0.7


class HeartbeatResponder:
    """Answers heartbeats of the allocator.

    Attributes:
        list_period_s: Period in which the allocator reads the worker list, in
            seconds.
        resend_backoff: Decides when the allocator is sent the configuration.
        last_read_s: When the worker list was last read for the allocator.
    """

    def __init__(
        self,
        *,
        instance_directory: directory.Directory,
        cluster: pool.ClusterPort,
        list_period_s: float,
        configuration: configuration_watch.ConfigurationWatch,
        timer_service: timers.TimerService,
    ) -> None:
        self.directory = instance_directory
        self.cluster = cluster
        self.list_period_s = list_period_s
        self.configuration = configuration
        self.timers = timer_service
        self.resend_backoff = resend_backoff.ResendBackoff()
        self.last_read_s = float(0)

    def respond(
        self,
        link: instance_links.LinkPort,
        beat: peer_messages.AllocatorBeat,
        term: election.Term,
    ) -> None:
        """Answer a heartbeat.

        Also sends the configuration if the allocator's version is old, and
        reads the worker list for it if its list is stale.
        """
        now_s = self.timers.now()
        newest = self.configuration.version()
        evacuated = self.configuration.evacuations
        evacuated.receive(beat.evacuated, term.allocator)
        link.send(
            peer_messages.OwnerBeat(
                config_version=newest,
                evacuated=evacuated.current,
                answered_ms=beat.sent_ms,
            )
        )
        served = beat.config_version
        if self.resend_backoff.is_due(
            term.allocator,
            served_version=served,
            newest_version=newest,
            now_s=now_s,
        ):
            link.send(self.configuration.to_message())
        is_due = now_s - self.last_read_s > READ_INTERVAL_S
        if is_due and list_relay.is_relay(
            name=self.directory.local_instance.name,
            ranked=self.relay_order(term),
            list_age_ms=beat.list_age_ms,
            period_s=self.list_period_s,
        ):
            self.last_read_s = now_s
            defer.ensureDeferred(self.send_worker_rows(link))

    def relay_order(
        self, term: election.Term
    ) -> tuple[values.InstanceName, ...]:
        """Return the successors, and then all other instances by name."""
        others = self.directory.instances.keys() - term.successors
        return (*term.successors, *sorted(others))

    async def send_worker_rows(self, link: instance_links.LinkPort) -> None:
        """Read the worker list from the store and send it to the allocator."""
        read = await self.cluster.workers()
        if isinstance(read, pool.WorkerRows):
            link.send(peer_messages.SharedWorkers(rows=read.rows))
