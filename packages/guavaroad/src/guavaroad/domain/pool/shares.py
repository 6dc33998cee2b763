"""How much of its demand each kind, size class and caller has been served.

Answers overload that would starve a part of the callers: a strict order by
urgency gives the least urgent kind nothing, and a crowd behind one instance
takes the room of all others. A class that is served much less than the whole
is owed room until it has caught up.
"""

import dataclasses
from collections.abc import Hashable
from typing import Final

# A class is owed room if less of its demand is served than this part of what is
# served of the whole. Half would be the least that callers accept; the margin
# is for estimates that are 40 % off.
FLOOR_SHARE: Final = 0.67
# A caller that asks for more than this multiple of what the mean caller asks
# for is a crowd.
CROWD_RATIO: Final = 2
# Interval and factor by which past demand is discounted: a mean age of about
# two seconds, short enough to follow a burst.
_FOLD_S: Final = 0.25
_FOLD_FACTOR: Final = 0.88
# Demand below which a class is forgotten, in jobs.
_FORGET_BELOW: Final = 0.05
# Demand below which a ratio says nothing, in jobs.
_MIN_DEMAND: Final = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Share:
    """Recent demand of one class and the part of it that was admitted.

    Attributes:
        asked: Jobs that arrived, discounted by age.
        admitted: Jobs of them that were admitted.
    """

    asked: float = 0
    admitted: float = 0

    def ratio(self) -> float:
        """Return the part that was admitted; 1 without any demand."""
        return self.admitted / self.asked if self.asked else 1


class Shares:
    """Shares of the classes of one family, such as all callers.

    Attributes:
        classes: Share of each class.
        whole: Share of all of them.
        folded_s: Time at which past demand was last discounted, in seconds.
    """

    def __init__(self) -> None:
        self.classes: dict[Hashable, Share] = {}
        self.whole = Share()
        self.folded_s: float = 0

    def ask(self, key: Hashable, now_s: float) -> None:
        """Count a job that has arrived.

        Args:
            key: Its class.
            now_s: Current time, in seconds.
        """
        self.fold(now_s)
        self.whole.asked += 1
        self.classes.setdefault(key, Share()).asked += 1

    def admit(self, key: Hashable, count: int = 1) -> None:
        """Count an admitted job, or with -1 one that was evicted unserved."""
        share = self.classes.get(key)
        if share is None:
            return
        share.admitted = max(share.admitted + count, 0)
        self.whole.admitted = max(self.whole.admitted + count, 0)

    def fold(self, now_s: float) -> None:
        """Discount past demand; costs time for each class, at intervals."""
        if now_s - self.folded_s < _FOLD_S:
            return
        factor = _FOLD_FACTOR ** ((now_s - self.folded_s) // _FOLD_S)
        self.folded_s = now_s
        for folded in (self.whole, *self.classes.values()):
            folded.asked *= factor
            folded.admitted *= factor
        self.classes = {
            key: share
            for key, share in self.classes.items()
            if share.asked >= _FORGET_BELOW
        }

    def is_owed(self, key: Hashable) -> bool:
        """Return whether a class is served less than its floor."""
        share = self.classes.get(key)
        if share is None or share.asked < _MIN_DEMAND:
            return False
        return share.ratio() < FLOOR_SHARE * self.whole.ratio()

    def is_crowd(self, key: Hashable) -> bool:
        """Return whether a class asks for much more than the others."""
        share = self.classes.get(key)
        if share is None or len(self.classes) < CROWD_RATIO + 1:
            return False
        mean = self.whole.asked / len(self.classes)
        return share.asked > CROWD_RATIO * max(mean, _MIN_DEMAND)
