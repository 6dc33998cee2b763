"""Measures what submission records cost: writes, latency and throughput.

Run as `python bench/submission_cost.py [JOBS]`. Each case submits the same jobs
of one task to a small fleet of real processes. The baseline writes a row before
each start, because every job has an idempotency key chosen by the client.
"""

import dataclasses
import functools
import statistics
import sys
import time
from concurrent import futures
from typing import Any, Final

from guavaroad_standins import calls, fleet, processes

JOBS: Final = 600
CLIENTS: Final = 16
RUN_MS: Final = 50
MS_PER_S: Final = 1000
P99_INDEX: Final = 98
REPEATS: Final = 3
DEADLINE_MS: Final = 3000
OPERATOR_AUTHORIZATION: Final = 'Bearer operator-secret'

# Transactions and rows.
Writes = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """Conditions under which the jobs are run.

    Attributes:
        name: Name in the output.
        keyed: Whether jobs have a client key, so that a row is written before
            each start.
        prefer: Value of the Prefer header.
        faults: Faults of the platform stand-in.
    """

    name: str
    keyed: bool = False
    prefer: str = ''
    faults: dict[str, Any] = dataclasses.field(default_factory=dict)


HEALTHY: Final = Case(name='records, platform healthy')
DOWN: Final = Case(name='records, platform down', faults={'down': True})
CASES: Final = (
    *(HEALTHY, DOWN) * REPEATS,
    Case(name='records, platform slow 100 ms', faults={'slow_ms': 100}),
    Case(name='row before each start, healthy', keyed=True),
    Case(
        name='row before each start, slow 100 ms',
        keyed=True,
        faults={'slow_ms': 100},
    ),
    Case(name='row before each start, down', keyed=True, faults={'down': True}),
)


def submit(address: str, key: str) -> tuple[str, float]:
    """Submit one job; return its result code name and latency in ms."""
    headers = {'Authorization': 'Bearer office-secret'}
    if key:
        headers['Idempotency-Key'] = key
    payload = {'run_ms': RUN_MS, 'echo': key}
    started_s = time.monotonic()
    reply = calls.call(
        'POST',
        address,
        '/v1/jobs/render/submissions',
        body={'tasks': [{'payload': payload}], 'deadline_ms': DEADLINE_MS},
        headers=headers,
    )
    latency_ms = (time.monotonic() - started_s) * MS_PER_S
    return reply.decoded()['name'], latency_ms


def configure(system: fleet.Fleet) -> None:
    """Add the job to the configuration and wait until it is in force."""
    calls.call(
        'PATCH',
        system.instances[0].address,
        '/v1/config',
        body={
            'teams': {'office': {}},
            'jobs': {'render': {'teams': ['office']}},
        },
        headers={'If-Match': '0', 'Authorization': OPERATOR_AUTHORIZATION},
    )
    for instance in system.instances:
        processes.wait_until(
            functools.partial(is_configured, instance.address),
            'configuration in force',
        )


def is_configured(address: str) -> bool:
    """Return whether an instance serves the configuration."""
    return bool(state_of(address)['configuration']['version'] == 1)


def state_of(address: str) -> Any:
    """Return the state dump of an instance."""
    return calls.call(
        'GET',
        address,
        '/v1/state',
        headers={'Authorization': OPERATOR_AUTHORIZATION},
    ).decoded()


def read_writes(system: fleet.Fleet) -> Writes:
    """Return the transactions and rows of records written so far."""
    states = [
        state_of(instance.address)['records']['records']
        for instance in system.instances
    ]
    return (
        sum(state['transactions'] for state in states),
        sum(state['rows'] for state in states),
    )


def all_written(system: fleet.Fleet) -> bool:
    """Return whether no instance has unwritten records."""
    return all(
        state_of(instance.address)['records']['records']['unwritten'] == 0
        for instance in system.instances
    )


def run_case(system: fleet.Fleet, case: Case, jobs: int) -> None:
    """Run the jobs of one case and print the results."""
    fleet.set_faults(system.platform_address, **case.faults)
    before = read_writes(system)
    started_s = time.monotonic()
    results = run_jobs(system, case, jobs)
    jobs_s = time.monotonic() - started_s
    fleet.set_faults(system.platform_address)
    processes.wait_until(lambda: all_written(system), 'records written', 60)
    writes_s = time.monotonic() - started_s
    print_jobs(case, results, jobs_s)
    print_writes(before, read_writes(system), jobs, writes_s)


def print_writes(
    before: Writes, after: Writes, jobs: int, elapsed_s: float
) -> None:
    """Print what was written up to the last record."""
    transactions, rows = (
        last - first for last, first in zip(after, before, strict=True)
    )
    rows_per_job = round(rows / jobs, 3)
    rows_per_s = round(rows / elapsed_s, 1)
    print(f'    transactions {transactions}, rows {rows}')
    print(f'    {rows_per_job} rows/job, {rows_per_s} rows/s', flush=True)


def run_jobs(
    system: fleet.Fleet, case: Case, jobs: int
) -> list[tuple[str, float]]:
    """Submit the jobs of a case to the instances in turn."""
    addresses = [instance.address for instance in system.instances]
    with futures.ThreadPoolExecutor(CLIENTS) as pool:
        submissions = [
            pool.submit(
                submit,
                addresses[number % len(addresses)],
                key_of(case, number),
            )
            for number in range(jobs)
        ]
    return [submission.result() for submission in submissions]


def key_of(case: Case, number: int) -> str:
    """Return the key of a job; empty if the instance assigns its id."""
    if not case.keyed:
        return ''
    label = ''.join(filter(str.isalnum, case.name))
    return f'{label}-{number}'


def print_jobs(
    case: Case, results: list[tuple[str, float]], elapsed_s: float
) -> None:
    """Print throughput and latency of the completed jobs."""
    complete = [latency for name, latency in results if name == 'COMPLETE']
    print(f'{case.name}: {len(complete)} of {len(results)} complete')
    if len(complete) < 2:
        return
    rate = round(len(complete) / elapsed_s, 1)
    median = round(statistics.median(complete), 1)
    percentiles = statistics.quantiles(complete, n=100)
    p99 = round(percentiles[P99_INDEX], 1)
    print(f'    {rate} jobs/s, median {median} ms, p99 {p99} ms')


def main() -> None:
    """Run every case on one fleet."""
    jobs = int(next(iter(sys.argv[1:]), JOBS))
    plan = fleet.FleetPlan(instances_per_zone=1, upstreams_per_zone=2, slots=16)
    with fleet.Fleet(plan=plan) as system:
        system.start()
        configure(system)
        for case in CASES:
            run_case(system, case, jobs)


if __name__ == '__main__':
    main()
