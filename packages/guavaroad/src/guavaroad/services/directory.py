"""Polls the platform's instance list."""

from collections.abc import Callable

from twisted.internet import defer

from guavaroad.ports import platform, timers


class DirectoryService:
    """Reads the instance list periodically and reports changes.

    Attributes:
        last: List that was read last.
        on_change: Called with each changed list.
    """

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
        """Read the list, and call the subscribers if it changed."""
        listed = await self.port.list_instances()
        match listed:
            case platform.InstanceList() if listed != self.last:
                self.last = listed
                for callback in self.on_change:
                    callback(listed)
