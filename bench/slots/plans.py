"""Arrival times and tasks of a run, fixed before it begins."""

import math
import random
from typing import Final

import msgspec

_SIZES: Final = (1, 10, 100)
_SIZE_WEIGHTS: Final = (70, 25, 5)
_LONG_PART: Final = 0.02
_SHORT_MS: Final = (50, 1000)
_LONG_MS: Final = (2000, 4000)
_MEAN_TASK_S: Final = (1 - _LONG_PART) * 0.525 + _LONG_PART * 3
_MEAN_SIZE: Final = 8.2
SLOTS: Final = 192
INSTANCES: Final = 9


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One job of the plan.

    Attributes:
        at_s: When it is sent, from the start of the run.
        instance: Number of the instance it is sent to.
        team: Team that sends it.
        job: Job name, which gives the class.
        tasks_ms: Run time of each task.
        group: Which work it belongs to in the results.
    """

    at_s: float
    instance: int
    team: str
    job: str
    tasks_ms: list[int]
    group: str


class Stream(msgspec.Struct, frozen=True, kw_only=True):
    """Poisson arrivals of one kind of work.

    Attributes:
        load: Part of all slots that the work needs.
        seconds: Length.
        team: Team that sends it.
        job: Job name.
        group: Name in the results.
        size: Tasks a job; 0 for the mix of 1, 10 and 100.
    """

    load: float
    seconds: float
    team: str = 'office'
    job: str = 'normal'
    group: str = 'work'
    size: int = 0


def task_ms(chooser: random.Random) -> int:
    """Return the run time of one task."""
    if chooser.random() < _LONG_PART:
        return chooser.randint(*_LONG_MS)
    return chooser.randint(*_SHORT_MS)


def arrivals(stream: Stream, seed: int) -> list[Arrival]:
    """Return the jobs of a stream.

    Args:
        stream: What arrives.
        seed: Seed of times, sizes and run times.

    Returns:
        Jobs in order of arrival.
    """
    chooser = random.Random(seed)
    mean_size = stream.size or _MEAN_SIZE
    rate = stream.load * SLOTS / (_MEAN_TASK_S * mean_size)
    planned = []
    at_s = chooser.expovariate(rate)
    while at_s < stream.seconds:
        drawn = chooser.choices(_SIZES, _SIZE_WEIGHTS)[0]
        size = stream.size or drawn
        planned.append(
            Arrival(
                at_s=at_s,
                instance=chooser.randrange(INSTANCES),
                team=stream.team,
                job=stream.job,
                tasks_ms=[task_ms(chooser) for _ in range(size)],
                group=stream.group,
            )
        )
        at_s += chooser.expovariate(rate)
    return planned


def ideal_s(arrival: Arrival, load: float) -> float:
    """Return the ideal response time of a job.

    Args:
        arrival: The job.
        load: Part of the slots that the whole plan needs.

    Returns:
        The later of its longest task and its work over the free slots.
    """
    free = SLOTS * (1 - load)
    work_ms = math.fsum(arrival.tasks_ms)
    return max(*arrival.tasks_ms, work_ms / free) / 1000
