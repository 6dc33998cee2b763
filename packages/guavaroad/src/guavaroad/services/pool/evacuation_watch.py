"""Keeps the evacuated availability zones of this instance up to date."""

from guavaroad.domain.pool import evacuations
from guavaroad.services.pool import decision_log


class EvacuationWatch:
    """Follows the evacuated zones, from the store or from other instances.

    Attributes:
        current: The evacuated zones.
    """

    def __init__(self, *, log: decision_log.DecisionLog) -> None:
        self.decision_log = log
        self.current = evacuations.NO_EVACUATIONS

    def apply_read(
        self, changes: evacuations.ZoneChanges, version: int
    ) -> None:
        """Apply a read of the store.

        Args:
            changes: What the read shows.
            version: Version of the store that it is as of.
        """
        self.replace(
            evacuations.apply_changes(self.current, changes, version), 'store'
        )

    def receive(self, received: evacuations.Evacuations, sender: str) -> None:
        """Apply what another instance knows.

        Args:
            received: Evacuated zones as known there.
            sender: Name of the instance.
        """
        self.replace(evacuations.newer_of(self.current, received), sender)

    def replace(self, newest: evacuations.Evacuations, source: str) -> None:
        """Use the newest evacuations, and log a change of the zones."""
        before = self.current
        self.current = newest
        if newest.zones != before.zones:
            self.decision_log.log_event(
                'zones_evacuated',
                zones=list(newest.zones),
                before=list(before.zones),
                version=newest.version,
                source=source,
            )
