"""Periods of membership, in seconds.

A heartbeat that is lost and a pause of half a second leave a silence below
`SUSPECT_S`; a dead process is `DEAD` in every view 5 s after its last word.
"""

from typing import Final

HEARTBEAT_PERIOD_S: Final = 1
SUSPECT_S: Final = 2.6
DEAD_S: Final = 3.6
FORGET_S: Final = 300
# A longer gap between two ticks means that this process itself stood still.
OWN_GAP_S: Final = 2
VOUCH_S: Final = 1.5
