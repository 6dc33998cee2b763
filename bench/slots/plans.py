"""Arrival times and tasks of a run, generated before it starts."""

import math
import random
from typing import Final

import msgspec

_SIZES: Final = (1, 10, 100)
_SIZE_WEIGHTS: Final = (70, 25, 5)
# Share of long tasks, and the ranges of run times.
_LONG_SHARE: Final = 0.02
_SHORT_MS: Final = (50, 1000)
_LONG_MS: Final = (2000, 4000)
_MEAN_TASK_S: Final = (1 - _LONG_SHARE) * 0.525 + _LONG_SHARE * 3
_MEAN_SIZE: Final = 8.2
SLOTS: Final = 192
INSTANCES: Final = 9


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One job of the plan.

    Attributes:
        at_s: When it is sent, in seconds from the start of the run.
        instance: Index of the instance it is sent to.
        team: Team that sends it.
        job: Job name, which determines the urgency class.
        tasks_ms: Run time of each task in milliseconds.
        group: Group that it belongs to in the results.
    """

    at_s: float
    instance: int
    team: str
    job: str
    tasks_ms: list[int]
    group: str


class Stream(msgspec.Struct, frozen=True, kw_only=True):
    """Poisson arrivals of one group of jobs.

    Attributes:
        load: Share of all slots that the jobs need.
        seconds: Duration.
        team: Team that sends the jobs.
        job: Job name.
        group: Name in the results.
        size: Tasks per job; 0 for the mix of 1, 10 and 100.
    """

    load: float
    seconds: float
    team: str = 'office'
    job: str = 'normal'
    group: str = 'work'
    size: int = 0


def draw_task_ms(rng: random.Random) -> int:
    """Return a random run time of one task in milliseconds."""
    if rng.random() < _LONG_SHARE:
        return rng.randint(*_LONG_MS)
    return rng.randint(*_SHORT_MS)


def arrivals(stream: Stream, seed: int) -> list[Arrival]:
    """Return the jobs of a stream.

    Args:
        stream: Parameters of the arrivals.
        seed: Seed of times, sizes and run times.

    Returns:
        Jobs in order of arrival.
    """
    rng = random.Random(seed)
    mean_size = stream.size or _MEAN_SIZE
    rate = stream.load * SLOTS / (_MEAN_TASK_S * mean_size)
    planned = []
    at_s = rng.expovariate(rate)
    while at_s < stream.seconds:
        mixed_size = rng.choices(_SIZES, _SIZE_WEIGHTS)[0]
        size = stream.size or mixed_size
        planned.append(
            Arrival(
                at_s=at_s,
                instance=rng.randrange(INSTANCES),
                team=stream.team,
                job=stream.job,
                tasks_ms=[draw_task_ms(rng) for _ in range(size)],
                group=stream.group,
            )
        )
        at_s += rng.expovariate(rate)
    return planned


def ideal_s(arrival: Arrival, load: float) -> float:
    """Return the ideal response time of a job in seconds.

    Args:
        arrival: The job.
        load: Share of the slots that the whole plan needs.

    Returns:
        The longer of its longest task and its total work divided by the
        number of free slots.
    """
    free = SLOTS * (1 - load)
    work_ms = math.fsum(arrival.tasks_ms)
    return max(*arrival.tasks_ms, work_ms / free) / 1000
