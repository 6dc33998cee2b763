"""Follows the platform's instance list."""

from collections.abc import Callable

from twisted.internet import defer

from guavaroad.ports import platform, timers


class DirectoryService:
    """Keeps the last list that the platform gave."""

    def __init__(
        self,
        *,
        port: platform.DirectoryPort,
        timer_service: timers.TimerService,
        period_s: float,
    ) -> None:
        self.port = port
        self.last = platform.InstanceList(entries=(), upstreams=())
        self.on_change: list[Callable[[platform.InstanceList], object]] = []
        timer_service.subscribe(period_s, self.refresh)

    def refresh(self) -> 'defer.Deferred[None]':
        """Read the list."""
        return defer.ensureDeferred(self.read_list())

    async def read_list(self) -> None:
        """Read the list and tell those who follow it, if it changed."""
        listed = await self.port.list_instances()
        match listed:
            case platform.InstanceList() if listed != self.last:
                self.last = listed
                for changed in self.on_change:
                    changed(listed)
