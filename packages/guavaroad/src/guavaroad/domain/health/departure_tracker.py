"""Upstreams that leave: the earliest notice of any source counts."""

import dataclasses
import enum
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.slots import upstream

_LAPSE_S: Final = 600


class NoticeSource(enum.Enum):
    """Who said that an upstream leaves."""

    PLATFORM = 'platform list'
    UPSTREAM = 'upstream'
    PEER = 'peer'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DepartureNotice:
    """The earliest notice of one upstream.

    Attributes:
        source: Who gave it.
        noticed_s: When, monotonic seconds.
        address: Address of the upstream that leaves.
    """

    source: NoticeSource
    noticed_s: float
    address: str


class DepartureTracker:
    """Earliest notices by upstream.

    A list that lags takes nothing back: a notice of the upstream or of a
    peer holds until the upstream is listed at another address, is no longer
    listed, or the notice lapses.
    """

    def __init__(self) -> None:
        self.notices: dict[names.UpstreamName, DepartureNotice] = {}

    def record_notice(
        self, name: names.UpstreamName, notice: DepartureNotice
    ) -> bool:
        """Take a notice; return whether it is the first of the upstream."""
        if name in self.notices:
            return False
        self.notices[name] = notice
        return True

    def is_leaving(self, name: names.UpstreamName) -> bool:
        """Return whether nothing may start at the upstream."""
        return name in self.notices

    def apply_list(
        self, listed: tuple[upstream.Upstream, ...], now_s: float
    ) -> None:
        """Take the platform's list."""
        by_name = {known.name: known for known in listed}
        self.notices = {
            name: notice
            for name, notice in self.notices.items()
            if name in by_name and holds(notice, by_name[name], now_s)
        }
        for known in listed:
            if known.leaving:
                notice = DepartureNotice(
                    source=NoticeSource.PLATFORM,
                    noticed_s=now_s,
                    address=known.address,
                )
                self.record_notice(known.name, notice)


def holds(
    notice: DepartureNotice, listed: upstream.Upstream, now_s: float
) -> bool:
    """Return whether a notice still counts.

    Args:
        notice: The earliest notice.
        listed: The upstream as the platform lists it now.
        now_s: Monotonic time.

    Returns:
        Whether nothing may start there.
    """
    if listed.address != notice.address:
        return False
    if listed.leaving:
        return True
    if notice.source is NoticeSource.PLATFORM:
        return False
    return now_s - notice.noticed_s < _LAPSE_S
