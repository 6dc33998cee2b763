"""Static division of slots: equal shares, or every slot for everyone."""

from typing import Any

from guavaroad.domain import names
from guavaroad.ports import platform
from guavaroad.services import dispatch


class EqualSlots:
    """Divides the listed upstreams evenly among the listed instances.

    Attributes:
        own_address: Client address of this instance; none if every instance
            may use every slot.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        own: names.ClientAddress | None,
    ) -> None:
        self.dispatcher = dispatcher
        self.own_address = own

    def list_changed(self, listed: platform.InstanceList) -> None:
        """Apply the platform's list."""
        index, count = self.position(listed)
        self.dispatcher.set_upstreams(
            dispatch.equal_uses(listed.upstreams, index, count)
        )

    def position(self, listed: platform.InstanceList) -> tuple[int, int]:
        """Return this instance's index in the list, and its length."""
        if self.own_address is None:
            return 0, 1
        addresses = {entry.address for entry in listed.entries} | {
            self.own_address
        }
        return sorted(addresses).index(self.own_address), len(addresses)

    def drain(self) -> None:
        """Return nothing: no other instance may use these slots."""

    def describe(self) -> dict[str, Any]:
        """Return an empty section; that of the dispatcher shows the shares."""
        return {}
