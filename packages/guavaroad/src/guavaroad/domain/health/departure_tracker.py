"""Tracking of the upstreams that are leaving."""

import dataclasses
import enum
from typing import Final

from guavaroad.domain import names
from guavaroad.domain.slots import upstream

_NOTICE_EXPIRY_S: Final = 600


class NoticeSource(enum.Enum):
    """Source of a departure notice."""

    PLATFORM = 'platform list'
    UPSTREAM = 'upstream'
    PEER = 'peer'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DepartureNotice:
    """Earliest departure notice of one upstream.

    Attributes:
        source: Source of the notice.
        received_s: Monotonic time of receipt, in seconds.
        address: Address of the leaving upstream.
    """

    source: NoticeSource
    received_s: float
    address: str


class DepartureTracker:
    """Earliest departure notice of each upstream, from any source.

    The platform's list may lag, so it does not revoke a notice from the
    upstream or from a peer.  Such a notice stays valid until the upstream is
    listed at another address, is no longer listed, or the notice expires.
    """

    def __init__(self) -> None:
        self.notices: dict[names.UpstreamName, DepartureNotice] = {}

    def record_notice(
        self, name: names.UpstreamName, notice: DepartureNotice
    ) -> bool:
        """Record a notice, unless the upstream already has one.

        Args:
            name: Upstream that is leaving.
            notice: Notice from any source.

        Returns:
            Whether the notice is the first of the upstream.
        """
        if name in self.notices:
            return False
        self.notices[name] = notice
        return True

    def is_leaving(self, name: names.UpstreamName) -> bool:
        """Return whether the upstream is leaving and takes no new tasks."""
        return name in self.notices

    def apply_list(
        self, listed: tuple[upstream.Upstream, ...], now_s: float
    ) -> None:
        """Apply the platform's list of upstreams.

        Args:
            listed: Listed upstreams.
            now_s: Current monotonic time in seconds.
        """
        by_name = {
            listed_upstream.name: listed_upstream for listed_upstream in listed
        }
        self.notices = {
            name: notice
            for name, notice in self.notices.items()
            if name in by_name and is_valid(notice, by_name[name], now_s)
        }
        for listed_upstream in listed:
            if listed_upstream.leaving:
                notice = DepartureNotice(
                    source=NoticeSource.PLATFORM,
                    received_s=now_s,
                    address=listed_upstream.address,
                )
                self.record_notice(listed_upstream.name, notice)


def is_valid(
    notice: DepartureNotice, listed: upstream.Upstream, now_s: float
) -> bool:
    """Return whether a notice is still valid.

    Args:
        notice: Earliest notice of the upstream.
        listed: Upstream in the platform's current list.
        now_s: Current monotonic time in seconds.

    Returns:
        Whether the upstream still counts as leaving.
    """
    if listed.address != notice.address:
        return False
    if listed.leaving:
        return True
    if notice.source is NoticeSource.PLATFORM:
        return False
    return now_s - notice.received_s < _NOTICE_EXPIRY_S
