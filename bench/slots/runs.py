"""One fleet of a mode, and runs of plans on it."""

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
_DEADLINE_MS: Final = 15_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Way:
    """One way to divide slots.

    Attributes:
        name: Name in the table.
        slots: Section `slots` of the settings.
    """

    name: str
    slots: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Totals:
    """Counters of the whole fleet at one moment.

    Attributes:
        starts: Tasks started by upstreams.
        busy: Attempts that full upstreams refused.
        messages: Reports and orders sent.
        empty: Orders that said nothing new.
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
        outcomes: What came back, in the same order.
        before: Counters before.
        after: Counters after.
    """

    planned: list[plans.Arrival]
    outcomes: list[sender.Outcome]
    before: Totals
    after: Totals


@contextlib.contextmanager
def running(way: Way) -> Iterator[fleet.Fleet]:
    """Run 9 instances in 3 zones with 24 upstreams of 8 slots."""
    plan = fleet.FleetPlan(
        zones=('zone-a', 'zone-b', 'zone-c'),
        instances_per_zone=3,
        upstreams_per_zone=8,
        slots=8,
        teams=TEAMS,
        settings={'slots': way.slots, 'logs': {'level': 'WARNING'}},
    )
    with fleet.Fleet(plan=plan) as system:
        system.start()
        systems.patch(system, 0, document())
        systems.wait_version(system, 1)
        yield system


def document() -> dict[str, Any]:
    """Return the configuration: a job of each class, open to all teams."""
    return {
        'teams': {team: {'max_queued_tasks': 20_000} for team in TEAMS},
        'jobs': {
            name: {'teams': list(TEAMS), 'urgency': name}
            for name in ('urgent', 'normal', 'low')
        },
    }


def replay(system: fleet.Fleet, planned: list[plans.Arrival]) -> Run:
    """Replay a plan with the load tool, in a process of its own."""
    plan_path = system.folder / 'plan.json'
    results_path = system.folder / 'results.json'
    jobs = [request(system, arrival) for arrival in planned]
    plan_path.write_bytes(msgspec.json.encode(jobs))
    before = totals(system)
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
    after = totals(system)
    outcomes = msgspec.json.decode(
        results_path.read_bytes(), type=list[sender.Outcome]
    )
    return Run(planned=planned, outcomes=outcomes, before=before, after=after)


def request(system: fleet.Fleet, arrival: plans.Arrival) -> sender.Job:
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


def totals(system: fleet.Fleet) -> Totals:
    """Read the counters of the fleet."""
    upstream = [
        calls.call('GET', place.address, '/admin/counters').decoded()
        for place in system.upstreams
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
    links = [known for state in states for known in link_counters(state)]
    orders = sum(
        state['slots'].get('allocating', {}).get('orders_sent', 0)
        for state in states
    )
    cpu_s = math.fsum(
        usage.read_usage(instance.process.child.pid).cpu_s
        for instance in system.instances
    )
    return Totals(
        starts=sum(counted['started'] for counted in upstream),
        busy=sum(counted['busy'] for counted in upstream),
        messages=orders + sum(known['reports'] for known in links),
        empty=sum(known['empty'] for known in links),
        cpu_s=cpu_s,
    )


def link_counters(state: dict[str, Any]) -> list[dict[str, int]]:
    """Return the counters of an instance's links."""
    return [
        known['counters']
        for zone, known in state['slots'].items()
        if zone != 'allocating'
    ]
