"""Periods and time-outs of the failure detector, in seconds.

A lost heartbeat together with a pause of 0.5 s stays below
`SUSPECT_TIMEOUT_S`.  A process that dies is `DEAD` in every view within 5 s
of its last heartbeat.
"""

from typing import Final

HEARTBEAT_PERIOD_S: Final = 1
SUSPECT_TIMEOUT_S: Final = 2.6
DEAD_TIMEOUT_S: Final = 3.6
EVICTION_AGE_S: Final = 300
# A longer gap between two ticks is a pause of this process.
LOCAL_PAUSE_S: Final = 2
PROBE_REPLY_MAX_AGE_S: Final = 1.5
