"""Bounds by which upstreams are ejected and jobs suspended."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """When to eject, for how long, and how many at most.

    Attributes:
        failures_in_a_row: Consecutive failures that eject an upstream.
        least_samples: Attempts in a window before its rate counts.
        outlier_gap: Success rate below the mean of the others that ejects.
        window_s: Length of the window of success rates, seconds.
        first_ejection_s: Length of the first ejection, seconds.
        longest_ejection_s: Longest ejection, seconds.
        most_ejected: Part of the upstreams that may be ejected at once.
        distinct_upstreams: Upstreams a job fails on before it is at fault.
    """

    failures_in_a_row: int = 5
    least_samples: int = 20
    outlier_gap: float = 0.4
    window_s: float = 5
    first_ejection_s: float = 5
    longest_ejection_s: float = 300
    most_ejected: float = 0.3
    distinct_upstreams: int = 3

    def ejection_s(self, times: int) -> float:
        """Return the length of an ejection.

        Args:
            times: Ejections so far without a healthy spell, from 1.

        Returns:
            Seconds, twice as long each time.
        """
        grown_s = self.first_ejection_s * math.pow(2, times - 1)
        return min(self.longest_ejection_s, grown_s)
