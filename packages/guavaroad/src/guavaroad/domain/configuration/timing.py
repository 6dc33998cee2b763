"""Periods of the configuration, in seconds.

An instance that reached nobody for `LEASE_S` admits no new work, so that a
driver may go on without one that was silent for longer.
"""

from typing import Final

LEASE_S: Final = 5
DOUBT_S: Final = 2
BEHIND_S: Final = 2
RESEND_INTERVAL_S: Final = 0.3
CONFIRM_S: Final = 8
# Waiting longer helps nobody when no instance of a zone answers.
ZONE_SILENT_S: Final = 3
PROPOSAL_EXPIRY_S: Final = 10
# Share of the lease that covers messages still on their way.
LEASE_MARGIN_S: Final = 1
