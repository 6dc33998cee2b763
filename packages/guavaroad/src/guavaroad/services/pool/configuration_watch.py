"""The configuration in force here: from the store, or from other instances."""

from collections.abc import Callable
from typing import Final

from twisted.internet import defer

from guavaroad.domain.pool import peer_messages, routing
from guavaroad.ports import platform, pool, timers
from guavaroad.services.pool import decision_log

# Pause after a failed read, in seconds.
RETRY_S: Final = 0.2


class ConfigurationWatch:
    """Follows the configuration; its version never goes back.

    Attributes:
        current: The newest configuration; none before the first.
        body: Its text.
        table: Its routes.
        on_change: Called with each new configuration.
    """

    def __init__(
        self,
        *,
        cluster: pool.ClusterPort,
        codec: pool.CodecPort,
        timer_service: timers.TimerService,
        book: decision_log.DecisionLog,
        on_change: Callable[[routing.Configuration], object],
    ) -> None:
        self.cluster = cluster
        self.codec = codec
        self.timers = timer_service
        self.journal = book
        self.on_change = on_change
        self.current: routing.Configuration | None = None
        self.body = b''
        self.table = routing.RouteTable(routes=())
        self.reachable = True

    def version(self) -> int:
        """Return the version in force; -1 for none."""
        return pool.version_of(self.current)

    def take(self, body: bytes, source: str) -> None:
        """Put a configuration in force if it is newer.

        Args:
            body: Its text.
            source: Who told of it.
        """
        found = self.codec.configuration(body)
        if found is None:
            self.journal.log_event('configuration_unreadable', source=source)
            return
        if found.version <= self.version():
            return
        before = self.version()
        self.current = found
        self.body = body
        self.table = routing.RouteTable(routes=found.routes)
        self.journal.log_event(
            'configuration_in_force',
            version=found.version,
            before=before,
            routes=len(found.routes),
            source=source,
        )
        self.on_change(found)

    def shared(self) -> peer_messages.SharedConfig:
        """Return the configuration as it is told to other instances."""
        return peer_messages.SharedConfig(
            version=self.version(), body=self.body
        )

    async def follow(self) -> None:
        """Read changes for as long as the process lives."""
        position: int | None = None
        while True:
            found = await self.cluster.config(position)
            position = await self.read(found)

    async def read(self, found: pool.ConfigText | platform.Away) -> int | None:
        """Take what was read; return where to go on, none from the start."""
        match found:
            case pool.ConfigText():
                self.seen(reachable=True, detail='')
                if found.body is not None:
                    self.take(found.body, 'store')
                return found.position
            case platform.Away():
                self.seen(reachable=False, detail=found.detail)
                await self.pause()
        return None

    def seen(self, *, reachable: bool, detail: str) -> None:
        """Log when the store is lost or regained."""
        if reachable != self.reachable:
            self.reachable = reachable
            event = 'store_regained' if reachable else 'store_lost'
            self.journal.log_event(event, detail=detail, version=self.version())

    def pause(self) -> 'defer.Deferred[None]':
        """Return what fires after a pause."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self.timers.call_after(RETRY_S, lambda: waiting.callback(None))
        return waiting


def run(watch: ConfigurationWatch) -> None:
    """Begin to follow the configuration."""
    defer.ensureDeferred(watch.follow())
