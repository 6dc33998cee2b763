"""Dependencies between the steps of a job."""

from collections.abc import Sequence

Dependencies = Sequence[Sequence[int]]


def depends_on_earlier(after: Dependencies) -> bool:
    """Return whether every step waits for earlier steps only.

    Args:
        after: For each step, the positions of the steps that it waits for.
    """
    return all(
        0 <= other < position
        for position, others in enumerate(after)
        for other in others
    )


def critical_path_ms(after: Dependencies, estimates_ms: Sequence[int]) -> int:
    """Return the estimated run time of the longest chain of steps.

    Args:
        after: For each step, the positions of the steps that it waits for, all
            of them earlier ones.
        estimates_ms: Estimated run time of a task of each step, in
            milliseconds.
    """
    ends_ms: list[int] = []
    for others, estimate_ms in zip(after, estimates_ms, strict=True):
        begins_ms = max((ends_ms[other] for other in others), default=0)
        ends_ms.append(begins_ms + estimate_ms)
    return max(ends_ms)
