"""How long workers take to answer, as a base for repeating calls.

Handles answers that are lost: the room of an ended run is lost too until its
end is reported, so a poll is repeated soon.  Where answers merely take long, as
on machines without processor time to spare, repeating them early would make
them take longer still.
"""

from typing import Final

# Range of the interval before an extra poll is repeated, in seconds.
MIN_REPEAT_S: Final = 0.05
MAX_REPEAT_S: Final = 0.2
# Multiple of the usual answer time after which an answer counts as lost.
LOST_RATIO: Final = 3
# Weight of one answer in the smoothed answer time.
ANSWER_WEIGHT: Final = 0.1


class AnswerTimes:
    """The smoothed time that polls without a wait take.

    Attributes:
        usual_s: Smoothed answer time, in seconds.
    """

    def __init__(self) -> None:
        self.usual_s = float(0)

    def record(self, answer_s: float) -> None:
        """Record the time until one answer, in seconds."""
        self.usual_s += ANSWER_WEIGHT * (answer_s - self.usual_s)

    def repeat_interval_s(self) -> float:
        """Return when a poll without an answer is repeated, in seconds."""
        return min(max(LOST_RATIO * self.usual_s, MIN_REPEAT_S), MAX_REPEAT_S)
