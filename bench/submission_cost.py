"""Measures what records cost: writes a job, latency, throughput.

Run as `python bench/submission_cost.py [JOBS]`.  Each case runs the same
seeded jobs of one task on a small fleet of real processes.  The baseline
writes a row before each start: every job carries a key that the client chose.
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
MS: Final = 1000
LAST_PERCENTILE: Final = 98
REPEATS: Final = 3
DEADLINE_MS: Final = 3000
OPERATOR: Final = 'Bearer operator-secret'


Written = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """One way to run the jobs.

    Attributes:
        name: What is shown.
        keyed: Whether a row is written before each start.
        prefer: Value of the Prefer header.
        faults: Faults of the platform.
    """

    name: str
    keyed: bool = False
    prefer: str = ''
    faults: dict[str, Any] = dataclasses.field(default_factory=dict)


HEALTHY: Final = Case(name='records, platform healthy')
AWAY: Final = Case(name='records, platform away', faults={'down': True})
CASES: Final = (
    *(HEALTHY, AWAY) * REPEATS,
    Case(name='records, platform slow 100 ms', faults={'slow_ms': 100}),
    Case(name='row before each start, healthy', keyed=True),
    Case(
        name='row before each start, slow 100 ms',
        keyed=True,
        faults={'slow_ms': 100},
    ),
    Case(name='row before each start, away', keyed=True, faults={'down': True}),
)


def submit(address: str, key: str) -> tuple[str, float]:
    """Submit one job; return the name of its answer and the milliseconds."""
    headers = {'Authorization': 'Bearer office-secret'}
    if key:
        headers['Idempotency-Key'] = key
    payload = {'run_ms': RUN_MS, 'echo': key}
    began = time.monotonic()
    reply = calls.call(
        'POST',
        address,
        '/v1/jobs/render/submissions',
        body={'tasks': [{'payload': payload}], 'deadline_ms': DEADLINE_MS},
        headers=headers,
    )
    took_ms = (time.monotonic() - began) * MS
    return reply.decoded()['name'], took_ms


def configure(system: fleet.Fleet) -> None:
    """Put the one job in the configuration and wait for it."""
    calls.call(
        'PATCH',
        system.instances[0].address,
        '/v1/config',
        body={
            'teams': {'office': {}},
            'jobs': {'render': {'teams': ['office']}},
        },
        headers={'If-Match': '0', 'Authorization': OPERATOR},
    )
    for instance in system.instances:
        processes.wait_until(
            functools.partial(is_configured, instance.address),
            'the configuration',
        )


def is_configured(address: str) -> bool:
    """Return whether an instance serves the configuration."""
    return bool(state_of(address)['configuration']['version'] == 1)


def state_of(address: str) -> Any:
    """Return the state dump of an instance."""
    return calls.call(
        'GET', address, '/v1/state', headers={'Authorization': OPERATOR}
    ).decoded()


def written(system: fleet.Fleet) -> Written:
    """Return the transactions and rows of the records so far."""
    states = [
        state_of(one.address)['records']['records'] for one in system.instances
    ]
    return (
        sum(state['transactions'] for state in states),
        sum(state['rows'] for state in states),
    )


def all_written(system: fleet.Fleet) -> bool:
    """Return whether no instance has a record left to write."""
    return all(
        state_of(one.address)['records']['records']['unwritten'] == 0
        for one in system.instances
    )


def run_case(system: fleet.Fleet, case: Case, jobs: int) -> None:
    """Run the jobs of one case and print one line."""
    fleet.set_faults(system.platform_address, **case.faults)
    before = written(system)
    began = time.monotonic()
    ended = run_jobs(system, case, jobs)
    took_s = time.monotonic() - began
    fleet.set_faults(system.platform_address)
    processes.wait_until(lambda: all_written(system), 'the backlog', 60)
    whole_s = time.monotonic() - began
    show(case, ended, took_s)
    show_writes(before, written(system), jobs, whole_s)


def show_writes(
    before: Written, after: Written, jobs: int, whole_s: float
) -> None:
    """Print what was written until the last record was in the table."""
    transactions, rows = (
        late - early for late, early in zip(after, before, strict=True)
    )
    a_job = round(rows / jobs, 3)
    a_second = round(rows / whole_s, 1)
    print(f'    transactions {transactions}, rows {rows}')
    print(f'    {a_job} rows a job, {a_second} rows/s', flush=True)


def run_jobs(
    system: fleet.Fleet, case: Case, jobs: int
) -> list[tuple[str, float]]:
    """Submit the jobs of a case to the instances in turn."""
    addresses = [one.address for one in system.instances]
    with futures.ThreadPoolExecutor(CLIENTS) as pool:
        sent = [
            pool.submit(
                submit,
                addresses[number % len(addresses)],
                key_of(case, number),
            )
            for number in range(jobs)
        ]
    return [one.result() for one in sent]


def key_of(case: Case, number: int) -> str:
    """Return the key of a job, empty if its id is to be minted."""
    if not case.keyed:
        return ''
    label = ''.join(filter(str.isalnum, case.name))
    return f'{label}-{number}'


def show(case: Case, ended: list[tuple[str, float]], took_s: float) -> None:
    """Print throughput and latency of the complete jobs."""
    complete = [took for name, took in ended if name == 'COMPLETE']
    print(f'{case.name}: {len(complete)} of {len(ended)} complete')
    if len(complete) < 2:
        return
    rate = round(len(complete) / took_s, 1)
    middle = round(statistics.median(complete), 1)
    spread = statistics.quantiles(complete, n=100)
    last = round(spread[LAST_PERCENTILE], 1)
    print(f'    {rate} jobs/s, median {middle} ms, p99 {last} ms')


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
