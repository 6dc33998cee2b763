"""When an allocator sends a heartbeat on a link.

Any message shows that its sender is alive, so a busy link needs few heartbeats.
With hundreds of instances they would otherwise be most of what an allocator
sends and receives.
"""

from typing import Final

from guavaroad.domain.pool import election

# Time after a heartbeat from which on the next check sends another one, in
# seconds. Leases end a fixed time after the last heartbeat that the owner of a
# run has answered, so that few of them would be cut short.
MAX_INTERVAL_S: Final = 0.15
# Part of the heartbeat period after which a link counts as quiet. It is checked
# once a period, so no link is quiet for two periods.
QUIET_SHARE: Final = 0.5


def is_due(
    *, now_s: float, sent_s: float, received_s: float, beat_s: float
) -> bool:
    """Return whether a heartbeat is due.

    Args:
        now_s: Current time, in seconds.
        sent_s: Time of the last message on the link, in seconds.
        received_s: Time of the last message from the instance, in seconds; a
            heartbeat asks for one.
        beat_s: Time of the last heartbeat, in seconds.
    """
    quiet_s = QUIET_SHARE * election.HEARTBEAT_PERIOD_S
    is_quiet = now_s - min(sent_s, received_s) > quiet_s
    return is_quiet or now_s - beat_s > MAX_INTERVAL_S
