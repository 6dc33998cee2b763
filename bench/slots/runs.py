"""A fleet with one slot policy, and runs of plans on it."""

import contextlib
import dataclasses
import math
import subprocess
import sys
from collections.abc import Iterator
from typing import Any, Final

import msgspec
from bench.capacity import systems, usage
from bench.slots import plans, sender

from guavaroad_standins import calls, fleet

TEAMS: Final = ('office', 'rival-a', 'rival-b', 'rival-c')
_RUN_TIMEOUT_S: Final = 120
_DEADLINE_MS: Final = 6_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """A policy that allocates slots to instances.

    Attributes:
        name: Name in the table.
        slots: Value of the section `slots` of the settings.
    """

    name: str
    slots: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Totals:
    """Counters of the whole fleet at one moment.

    Attributes:
        starts: Tasks started by upstreams.
        busy: Attempts that upstreams refused because all slots were in use.
        messages: Slot reports and slot orders sent.
        empty: Slot orders that changed nothing.
        cpu_s: Processor seconds of all instances.
    """

    starts: int
    busy: int
    messages: int
    empty: int
    cpu_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One replayed plan.

    Attributes:
        planned: The jobs.
        outcomes: Outcomes of the jobs, in the same order.
        before: Counters before the run.
        after: Counters after the run.
    """

    planned: list[plans.Arrival]
    outcomes: list[sender.Outcome]
    before: Totals
    after: Totals


@contextlib.contextmanager
def run_fleet(policy: Policy) -> Iterator[fleet.Fleet]:
    """Run 9 instances in 3 availability zones with 24 upstreams of 8 slots."""
    plan = fleet.FleetPlan(
        zones=('zone-a', 'zone-b', 'zone-c'),
        instances_per_zone=3,
        upstreams_per_zone=8,
        slots=8,
        teams=TEAMS,
        settings={'slots': policy.slots, 'logs': {'level': 'WARNING'}},
    )
    with fleet.Fleet(plan=plan) as system:
        system.start()
        systems.patch(system, 0, configuration_document())
        systems.wait_version(system, 1)
        yield system


def configuration_document() -> dict[str, Any]:
    """Return the configuration: a job per urgency class, for all teams."""
    return {
        'teams': {team: {'max_queued_tasks': 20_000} for team in TEAMS},
        'jobs': {
            name: {'teams': list(TEAMS), 'urgency': name}
            for name in ('urgent', 'normal', 'low')
        },
    }


def replay(system: fleet.Fleet, planned: list[plans.Arrival]) -> Run:
    """Replay a plan with the load generator, in a separate process."""
    plan_path = system.folder / 'plan.json'
    results_path = system.folder / 'results.json'
    jobs = [planned_request(system, arrival) for arrival in planned]
    plan_path.write_bytes(msgspec.json.encode(jobs))
    before = read_totals(system)
    subprocess.run(
        [
            sys.executable,
            '-m',
            'bench.slots.sender',
            str(plan_path),
            str(results_path),
        ],
        check=True,
        timeout=_RUN_TIMEOUT_S,
    )
    after = read_totals(system)
    outcomes = msgspec.json.decode(
        results_path.read_bytes(), type=list[sender.Outcome]
    )
    return Run(planned=planned, outcomes=outcomes, before=before, after=after)


def planned_request(system: fleet.Fleet, arrival: plans.Arrival) -> sender.Job:
    """Return the request of a planned job."""
    address = system.instances[arrival.instance].address
    tasks = [{'payload': {'run_ms': run_ms}} for run_ms in arrival.tasks_ms]
    body = {'tasks': tasks, 'deadline_ms': _DEADLINE_MS}
    return sender.Job(
        at_s=arrival.at_s,
        url=f'http://{address}/v1/jobs/{arrival.job}/submissions',
        token=f'{arrival.team}-secret',
        body=msgspec.json.encode(body).decode(),
    )


def read_totals(system: fleet.Fleet) -> Totals:
    """Return the current counters of the fleet."""
    upstream_counters = [
        calls.call('GET', upstream.address, '/admin/counters').decoded()
        for upstream in system.upstreams
    ]
    states = [
        calls.call(
            'GET',
            instance.address,
            '/v1/state',
            headers=systems.bearer(fleet.OPERATOR_TOKEN),
        ).decoded()
        for instance in system.instances
    ]
    links = [link for state in states for link in link_counters(state)]
    orders = sum(
        state['slots'].get('allocating', {}).get('orders_sent', 0)
        for state in states
    )
    cpu_s = math.fsum(
        usage.read_usage(instance.process.child.pid).cpu_s
        for instance in system.instances
    )
    return Totals(
        starts=sum(counters['started'] for counters in upstream_counters),
        busy=sum(counters['busy'] for counters in upstream_counters),
        messages=orders + sum(link['reports'] for link in links),
        empty=sum(link['empty'] for link in links),
        cpu_s=cpu_s,
    )


def link_counters(state: dict[str, Any]) -> list[dict[str, int]]:
    """Return the counters of an instance's links to slot allocators."""
    return [
        link['counters']
        for zone, link in state['slots'].items()
        if zone != 'allocating'
    ]
