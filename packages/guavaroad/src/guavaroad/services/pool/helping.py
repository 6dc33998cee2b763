"""What an instance gives the allocator that it follows, if it lacks that."""

from typing import Final

from twisted.internet import defer

from guavaroad.domain.pool import peer_messages, resend_backoff, values
from guavaroad.ports import pool, timers
from guavaroad.services.pool import configuration_watch, instance_links

# Age of the allocator's list of workers at which the others read it for it,
# in milliseconds: it reads it every 500 ms while it can.
OLD_LIST_MS: Final = 1100
# Pause between two such reads, in seconds.
HELP_PERIOD_S: Final = 0.7


class Helper:
    """Answers heartbeats of the allocator.

    Attributes:
        catch_up: Whether it lags behind the configuration.
        helped_s: When the list of workers was last read for it.
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
        self.catch_up = resend_backoff.ResendBackoff()
        self.helped_s = float(0)

    def answer(
        self,
        link: instance_links.LinkPort,
        beat: peer_messages.AllocatorBeat,
        holder: values.InstanceName,
    ) -> None:
        """Answer a heartbeat, with what the allocator lacks."""
        now_s = self.timers.now()
        newest = self.configuration.version()
        link.send(peer_messages.OwnerBeat(config_version=newest))
        has = beat.config_version
        if self.catch_up.is_due(holder, has=has, newest=newest, now_s=now_s):
            link.send(self.configuration.shared())
        is_due = now_s - self.helped_s > HELP_PERIOD_S
        if beat.list_age_ms > OLD_LIST_MS and is_due:
            self.helped_s = now_s
            defer.ensureDeferred(self.help(link))

    async def help(self, link: instance_links.LinkPort) -> None:
        """Read the list of workers for the allocator."""
        found = await self.cluster.workers()
        if isinstance(found, pool.WorkerRows):
            link.send(peer_messages.SharedWorkers(rows=found.rows))
