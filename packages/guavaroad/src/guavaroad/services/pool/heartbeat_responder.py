"""Answers the allocator's heartbeats, and sends it the data that it lacks."""

from typing import Final

from twisted.internet import defer

from guavaroad.domain.pool import peer_messages, resend_backoff, values
from guavaroad.ports import pool, timers
from guavaroad.services.pool import configuration_watch, instance_links

# Age of the allocator's worker list, in milliseconds, above which its
# followers read the list for it. The allocator itself reads it every 500 ms
# while it reaches the store.
STALE_LIST_MS: Final = 1100
# Minimum interval between two such reads, in seconds.
READ_INTERVAL_S: Final = 0.7


class HeartbeatResponder:
    """Answers heartbeats of the allocator.

    Attributes:
        resend_backoff: Decides when the allocator is sent the configuration.
        last_read_s: When the worker list was last read for the allocator.
    """

    def __init__(
        self,
        *,
        cluster: pool.ClusterPort,
        configuration: configuration_watch.ConfigurationWatch,
        timer_service: timers.TimerService,
    ) -> None:
        self.cluster = cluster
        self.configuration = configuration
        self.timers = timer_service
        self.resend_backoff = resend_backoff.ResendBackoff()
        self.last_read_s = float(0)

    def respond(
        self,
        link: instance_links.LinkPort,
        beat: peer_messages.AllocatorBeat,
        allocator: values.InstanceName,
    ) -> None:
        """Answer a heartbeat.

        Also sends the configuration if the allocator's version is old, and
        reads the worker list for it if its list is stale.
        """
        now_s = self.timers.now()
        newest = self.configuration.version()
        link.send(peer_messages.OwnerBeat(config_version=newest))
        served = beat.config_version
        if self.resend_backoff.is_due(
            allocator, served_version=served, newest_version=newest, now_s=now_s
        ):
            link.send(self.configuration.to_message())
        is_due = now_s - self.last_read_s > READ_INTERVAL_S
        if beat.list_age_ms > STALE_LIST_MS and is_due:
            self.last_read_s = now_s
            defer.ensureDeferred(self.send_worker_rows(link))

    async def send_worker_rows(self, link: instance_links.LinkPort) -> None:
        """Read the worker list from the store and send it to the allocator."""
        read = await self.cluster.workers()
        if isinstance(read, pool.WorkerRows):
            link.send(peer_messages.SharedWorkers(rows=read.rows))
