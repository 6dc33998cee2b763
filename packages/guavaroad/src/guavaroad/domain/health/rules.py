"""Thresholds for the ejection of upstreams and the suspension of jobs."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """Thresholds of the outlier detection and the job breakers.

    Attributes:
        consecutive_failures: Consecutive failures that eject an upstream.
        min_samples: Attempts required to evaluate a success rate.
        outlier_gap: Difference of the success rate to the mean of the other
            upstreams above which an upstream is ejected.
        window_s: Length of the success rate window in seconds.
        base_ejection_s: Length of the first ejection in seconds.
        max_ejection_s: Maximum length of an ejection in seconds.
        max_ejected: Fraction of the upstreams that may be ejected at once.
        distinct_upstreams: Number of upstreams on which a job must fail to
            open its breaker.
    """

    consecutive_failures: int = 5
    min_samples: int = 20
    outlier_gap: float = 0.4
    window_s: float = 5
    base_ejection_s: float = 5
    max_ejection_s: float = 300
    max_ejected: float = 0.3
    distinct_upstreams: int = 3

    def ejection_s(self, count: int) -> float:
        """Return the length of an ejection, which doubles each time.

        Args:
            count: Consecutive ejections including this one, from 1.

        Returns:
            Length of the ejection in seconds.
        """
        doubled_s = self.base_ejection_s * math.pow(2, count - 1)
        return min(self.max_ejection_s, doubled_s)
