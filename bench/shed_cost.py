"""Measures what one admission decision costs, by queue and number of workers.

Run as `python bench/shed_cost.py`. All workers are full, the given number of
jobs waits, and more work arrives than can be done: the dearest case, as the
decision also looks for room in gaps.
"""

import time
from typing import Final
from unittest import mock

from guavaroad.domain import names
from guavaroad.domain.pool import (
    allocator,
    declared_jobs,
    load_shedding,
    messages,
    outcomes,
    values,
    worker,
)

CASES: Final = ((100, 200), (1000, 2000), (10_000, 20_000))
INSTANCES: Final = 30
DECISIONS: Final = 2000
START_S: Final = 10.0
ARRIVAL_S: Final = 0.0005
WORKER_CPU: Final = 64_000
TASK_CPU: Final = 40_000
US_PER_S: Final = 1e6


def main() -> None:
    """Print the mean time of a decision for each case."""
    for waiting, workers in CASES:
        print(f'{waiting} jobs, {workers} workers: ', end='')
        print(round(decision_us(waiting, workers)), 'us a decision')


def decision_us(waiting: int, workers: int) -> float:
    """Return the mean time of a decision, in microseconds."""
    machine = allocator.Allocator(token=values.Token(1), now_s=0)
    machine.update_workers(
        [listed_worker(number) for number in range(workers)], START_S
    )
    for worker_id in tuple(machine.state.workers):
        machine.reports.record_report(
            worker_id=worker_id,
            report=outcomes.RunReport(
                clock_ms=0, started_ms=1, running=(), ended=()
            ),
            sent_s=START_S,
            now_s=START_S,
        )
    admission = machine.job_admission
    shedder = load_shedding.LoadShedder
    with mock.patch.object(shedder, 'is_admitted', return_value=True):
        for number in range(workers + waiting):
            admission.declare(owner(number), declared(number), START_S)
            if number < workers // 2:
                machine.place(START_S)
    machine.pop_actions()
    return measured_us(machine, workers + waiting)


def measured_us(machine: allocator.Allocator, first: int) -> float:
    """Return the mean time of a decision on a full pool."""
    total_s = float(0)
    now_s = START_S
    pool = machine.state.pool(names.PoolName('pool'))
    shedder = machine.job_admission.shedder
    for number in range(first, first + DECISIONS):
        now_s += ARRIVAL_S
        # Counting the workers is not part of a decision: it is repeated at most
        # once in `placement.CORES_MAX_AGE_S`.
        pool.capacity.cores(now_s)
        machine.job_admission.declare(owner(number), declared(number), now_s)
        job = declared_jobs.build_job(owner(number), declared(number), now_s)
        begun_s = time.process_time()
        shedder.is_admitted(pool, job, now_s)
        total_s += time.process_time() - begun_s
    return total_s / DECISIONS * US_PER_S


def owner(number: int) -> values.InstanceName:
    """Return the instance that received a job."""
    return values.InstanceName(str(number % INSTANCES))


def listed_worker(number: int) -> worker.WorkerInfo:
    """Return the list entry of a worker."""
    return worker.WorkerInfo(
        worker_id=values.WorkerId(f'w{number}'),
        address='',
        zone=names.AvailabilityZone('a'),
        pool=names.PoolName('pool'),
        labels=(),
        capacity=values.Amount(cpu=WORKER_CPU, memory_mb=1),
        draining=False,
        started_ms=1,
    )


def declared(number: int) -> messages.Declare:
    """Return the declaration of a job of two tasks that no gap fits."""
    return messages.Declare(
        job=values.JobId(str(number)),
        pool='pool',
        urgency=1,
        max_attempts=3,
        payload='',
        estimate_ms=200,
        age_ms=0,
        objective_ms=180,
        client_timeout_ms=2640,
        tasks=tuple(
            messages.DeclaredTask(
                name=values.TaskName(f'{number}.{index}'), cpu=TASK_CPU
            )
            for index in range(2)
        ),
    )


if __name__ == '__main__':
    main()
