"""Periods and time-outs of the configuration protocol, in seconds.

An instance that reaches neither the platform nor a zone peer for `LEASE_S`
admits no new work.  A driver may therefore commit without the vote of an
instance that has been unreachable for longer.
"""

from typing import Final

LEASE_S: Final = 5
UNCONFIRMED_TIMEOUT_S: Final = 2
BEHIND_TIMEOUT_S: Final = 2
RESEND_INTERVAL_S: Final = 0.3
CONFIRM_TIMEOUT_S: Final = 8
# Shorter than `CONFIRM_TIMEOUT_S`: if no instance of a zone answers, none of
# them can confirm that the others have lost their leases.
ZONE_TIMEOUT_S: Final = 3
PROPOSAL_EXPIRY_S: Final = 10
# Added to the lease to allow for messages in transit.
LEASE_MARGIN_S: Final = 1
