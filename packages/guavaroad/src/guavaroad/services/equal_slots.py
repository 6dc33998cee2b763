"""Slots divided without messages: equal shares, or none at all."""

from typing import Any

from guavaroad.domain import names
from guavaroad.ports import platform
from guavaroad.services import dispatch


class EqualSlots:
    """Divides the listed upstreams evenly among the listed instances.

    Attributes:
        own: Client address of this instance; none if every instance may
            fill every slot.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        own: names.ClientAddress | None,
    ) -> None:
        self.dispatcher = dispatcher
        self.own = own

    def list_changed(self, listed: platform.InstanceList) -> None:
        """Take the platform's list."""
        index, count = self.place(listed)
        self.dispatcher.set_upstreams(
            dispatch.equal_uses(listed.upstreams, index, count)
        )

    def place(self, listed: platform.InstanceList) -> tuple[int, int]:
        """Return this instance's index in the list, and its length."""
        if self.own is None:
            return 0, 1
        addresses = {entry.address for entry in listed.entries} | {self.own}
        return sorted(addresses).index(self.own), len(addresses)

    def drain(self) -> None:
        """Give nothing back: no other instance may fill the slots."""

    def describe(self) -> dict[str, Any]:
        """Return nothing; the dispatcher shows the shares."""
        return {}
