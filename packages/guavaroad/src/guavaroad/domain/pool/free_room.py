"""Free capacity of the workers of a pool at this moment.

Guards against refusing a job that could start at once, however long the others
wait: their tasks may need larger gaps than those that are free.
"""

import heapq
import itertools
from collections.abc import Iterable
from typing import Final

from guavaroad.domain.pool import placement, values, work

# Workers that are looked at to tell whether a task fits now.
MAX_EXAMINED: Final = 16


def fits_now(
    capacity: placement.CapacityIndex,
    tasks: Iterable[work.Task],
    spared_cpu: float,
    now_s: float,
) -> bool:
    """Return whether all of some tasks fit on the workers right now.

    Args:
        capacity: Workers by their free cores.
        tasks: The tasks.
        spared_cpu: Thousandths of a core that have to stay free.
        now_s: Current time, in seconds.
    """
    largest_first = sorted(tasks, key=lambda task: task.need.cpu, reverse=True)
    needed_cpu = sum(task.need.cpu for task in largest_first)
    if capacity.free_cpu - needed_cpu < spared_cpu:
        return False
    taken: dict[values.WorkerId, int] = {}
    return all(_takes(capacity, task, taken, now_s) for task in largest_first)


def largest_gap_cpu(capacity: placement.CapacityIndex, now_s: float) -> int:
    """Return the free thousandths of a core of the emptiest usable worker.

    Args:
        capacity: Workers by their free cores.
        now_s: Current time, in seconds.
    """
    emptiest_first = heapq.merge(
        *(reversed(order) for order in capacity.groups.values()), reverse=True
    )
    for free_cpu, worker_id in itertools.islice(emptiest_first, MAX_EXAMINED):
        if placement.may_start(capacity.workers[worker_id], now_s):
            return int(free_cpu)
    return 0


def _takes(
    capacity: placement.CapacityIndex,
    task: work.Task,
    taken: dict[values.WorkerId, int],
    now_s: float,
) -> bool:
    """Return whether a task fits beside others; add it to them."""
    tightest_first = heapq.merge(
        *(
            order.irange((task.need.cpu, ''))
            for order in capacity.groups.values()
        )
    )
    for free_cpu, worker_id in itertools.islice(tightest_first, MAX_EXAMINED):
        worker_state = capacity.workers[worker_id]
        left_cpu = free_cpu - taken.get(worker_id, 0) - task.need.cpu
        if (
            left_cpu >= 0
            and worker_state.fits(task.need)
            and task.constraint.allows(worker_state.worker_info.labels)
            and placement.may_start(worker_state, now_s)
        ):
            taken[worker_id] = taken.get(worker_id, 0) + task.need.cpu
            return True
    return False
