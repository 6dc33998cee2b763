"""When this instance was last in contact with an allocator.

The allocator lets runs of this instance's jobs go on for a fixed time from then
on, so that the next allocator knows when the last of them has ended.
"""

import math

from guavaroad.domain import units
from guavaroad.domain.pool import peer_messages
from guavaroad.ports import timers


class AllocatorContact:
    """The last contact with any allocator.

    Attributes:
        contact_s: When this instance last followed an allocator or answered a
            heartbeat, in seconds. Infinite if the allocator is of an older
            build, which counts from any later message.
    """

    def __init__(self, *, timer_service: timers.TimerService) -> None:
        self.timers = timer_service
        self.contact_s = timer_service.now()

    def on_followed(self) -> None:
        """Record that an allocator is followed from now on."""
        self.contact_s = self.timers.now()

    def on_beat(self, beat: peer_messages.AllocatorBeat) -> None:
        """Record that a heartbeat of the allocator is answered."""
        is_counted = beat.sent_ms >= 0
        self.contact_s = self.timers.now() if is_counted else math.inf

    def age_ms(self) -> int:
        """Return the time since the contact, in milliseconds; 0 if unknown."""
        return units.to_ms(max(self.timers.now() - self.contact_s, 0))
