"""What a job needs, and which size class of its kind it belongs to.

Answers overload: when some jobs have to be refused, those that need the least
room for an answer go first, and the largest of a kind must still be served. The
bounds of the classes follow the sizes that arrive, at a fixed cost per job.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from guavaroad.domain.pool import values, work

# Part of the jobs of a kind below each bound. The largest tenth and the fifth
# below it are the classes that callers with large jobs notice first.
MIDDLE_QUANTILE: Final = 0.7
LARGE_QUANTILE: Final = 0.9
# Step of a bound per job, as a share of the mean size: about 20 jobs move it by
# half of the mean.
_STEP_SHARE: Final = 0.05
_MEAN_WEIGHT: Final = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class SizeBounds:
    """Bounds between the size classes of one kind of job.

    Attributes:
        mean: Mean size, in core-seconds, smoothed; 0 before the first job.
        middle: Lower bound of the middle class, in core-seconds.
        large: Lower bound of the large class, in core-seconds.
    """

    mean: float = 0
    middle: float = 0
    large: float = 0

    def record(self, core_s: float) -> None:
        """Move the bounds by the size of a new job, in core-seconds."""
        if not self.mean:
            self.mean = core_s
            self.middle = core_s
            self.large = core_s
            return
        self.mean += _MEAN_WEIGHT * (core_s - self.mean)
        step = _STEP_SHARE * self.mean
        self.middle += step * (MIDDLE_QUANTILE - (core_s < self.middle))
        self.large += step * (LARGE_QUANTILE - (core_s < self.large))
        self.large = max(self.large, self.middle)

    def class_of(self, core_s: float) -> values.Size:
        """Return the class of a job by its size, in core-seconds."""
        if core_s > self.large:
            return values.Size.LARGE
        if core_s > self.middle:
            return values.Size.MIDDLE
        return values.Size.SMALL


def core_s_of(tasks: Iterable[work.Task]) -> float:
    """Return the estimated work of tasks, in core-seconds."""
    return sum(
        task.estimate_s * task.need.cpu / values.CPU_MILLIS_PER_CORE
        for task in tasks
    )
