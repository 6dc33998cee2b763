"""Keeps this instance's configuration up to date.

New versions come from the store, or from other instances.
"""

from collections.abc import Callable
from typing import Final

from twisted.internet import defer

from guavaroad.domain.pool import peer_messages, routing
from guavaroad.ports import logs, platform, pool, timers
from guavaroad.services.pool import decision_log, evacuation_watch

# Delay after a failed read, in seconds.
RETRY_DELAY_S: Final = 0.2
# Least time for which the store waits for a change, in seconds. Reads that it
# answers sooner without a change are delayed like failed ones.
MIN_WAIT_S: Final = 0.05
_log: Final = logs.logger_of('configuration')


class ConfigurationWatch:
    """Applies new configurations; the version never decreases.

    Attributes:
        current: The newest configuration; none before the first.
        body: Serialised form of the newest configuration.
        table: Routing table of the newest configuration.
        evacuations: Evacuated availability zones, from the same reads.
        reachable: Whether the last read of the store succeeded.
        on_change: Called with each new configuration.
    """

    def __init__(
        self,
        *,
        cluster: pool.ClusterPort,
        codec: pool.CodecPort,
        timer_service: timers.TimerService,
        log: decision_log.DecisionLog,
        on_change: Callable[[routing.Configuration], object],
    ) -> None:
        self.cluster = cluster
        self.codec = codec
        self.timers = timer_service
        self.decision_log = log
        self.on_change = on_change
        self.current: routing.Configuration | None = None
        self.body = b''
        self.table = routing.RouteTable(routes=())
        self.evacuations = evacuation_watch.EvacuationWatch(log=log)
        self.reachable = True

    def version(self) -> int:
        """Return the version in force; -1 for none."""
        return pool.version_of(self.current)

    def apply(self, body: bytes, source: str) -> None:
        """Put a configuration in force if it is newer.

        Args:
            body: Serialised configuration.
            source: Its source: `store`, or the name of an instance.
        """
        received = self.codec.configuration(body)
        if received is None:
            self.decision_log.log_event(
                'configuration_unreadable', source=source
            )
            return
        if received.version <= self.version():
            return
        before = self.version()
        self.current = received
        self.body = body
        self.table = routing.RouteTable(routes=received.routes)
        self.decision_log.log_event(
            'configuration_in_force',
            version=received.version,
            before=before,
            routes=len(received.routes),
            source=source,
        )
        self.on_change(received)

    def to_message(self) -> peer_messages.SharedConfig:
        """Return the configuration as a message to another instance."""
        return peer_messages.SharedConfig(
            version=self.version(), body=self.body
        )

    async def follow(self) -> None:
        """Read changes from the store until the process ends."""
        position: int | None = None
        while True:
            began_s = self.timers.now()
            before = position
            position = await self.read_next(position)
            elapsed_s = self.timers.now() - began_s
            if position == before and elapsed_s < MIN_WAIT_S:
                await self.retry_delay()

    async def read_next(self, position: int | None) -> int | None:
        """Read and apply the next change, or log why that has failed.

        Args:
            position: Position of the last read; none to read from the start.

        Returns:
            The position of the next read; none to read from the start.
        """
        try:
            return await self.process(await self.cluster.config(position))
        except Exception as error:  # noqa: BLE001 - goes on with the next read
            _log.opt(exception=error).error('configuration was not read')
            await self.retry_delay()
            return None

    async def process(
        self, change: pool.ConfigText | platform.Away
    ) -> int | None:
        """Apply what was read from the store.

        Returns:
            The position of the next read; none to read from the start.
        """
        match change:
            case pool.ConfigText():
                self.record_reachable(reachable=True, detail='')
                self.evacuations.apply_read(change.zones, change.position)
                if change.body is not None:
                    self.apply(change.body, 'store')
                return change.position
            case platform.Away():
                self.record_reachable(reachable=False, detail=change.detail)
                await self.retry_delay()
        return None

    def record_reachable(self, *, reachable: bool, detail: str) -> None:
        """Log an event when the store becomes unreachable or reachable."""
        if reachable != self.reachable:
            self.reachable = reachable
            event = 'store_regained' if reachable else 'store_lost'
            self.decision_log.log_event(
                event, detail=detail, version=self.version()
            )

    def retry_delay(self) -> 'defer.Deferred[None]':
        """Return a deferred that fires after the delay of a failed read."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self.timers.call_after(RETRY_DELAY_S, lambda: waiting.callback(None))
        return waiting


def run(watch: ConfigurationWatch) -> None:
    """Start to follow the configuration in the store."""
    defer.ensureDeferred(watch.follow())
