"""Fleets for the benchmarks, and requests to them."""

import contextlib
import functools
import itertools
from collections.abc import Iterator
from typing import Any, Final

from guavaroad_standins import calls, fleet, processes

TEAM: Final = 'office'
JOB: Final = 'render'
_CLIENT_TOKEN: Final = f'{TEAM}-secret'
_MAX_QUEUED: Final = 1_000_000
_MAX_TASKS: Final = 850
_APPLY_TIMEOUT_S: Final = 60


def bearer(token: str) -> dict[str, str]:
    """Return the authorization header for a token."""
    return {'Authorization': f'Bearer {token}'}


@contextlib.contextmanager
def run_fleet(plan: fleet.FleetPlan) -> Iterator[fleet.Fleet]:
    """Run a fleet whose configuration has the job of the benchmark.

    Args:
        plan: The fleet to start.

    Yields:
        The fleet; every instance is ready and has applied version 1.
    """
    with fleet.Fleet(plan=plan) as system:
        system.start()
        patch(system, 0, base_document())
        wait_version(system, 1)
        yield system


def base_document() -> dict[str, Any]:
    """Return the configuration of the benchmark."""
    return {
        'teams': {TEAM: {'max_queued_tasks': _MAX_QUEUED}},
        'jobs': {JOB: {'teams': [TEAM], 'max_tasks': _MAX_TASKS}},
    }


def patch(system: fleet.Fleet, base: int, change: dict[str, Any]) -> int:
    """Send a patch to the first instance.

    Args:
        system: The fleet.
        base: Version that the patch is based on.
        change: JSON merge patch.

    Returns:
        HTTP status of the response.
    """
    reply = calls.call(
        'PATCH',
        system.instances[0].address,
        '/v1/config',
        body=change,
        headers={'If-Match': str(base), **bearer(fleet.OPERATOR_TOKEN)},
    )
    return reply.status


def wait_version(system: fleet.Fleet, version: int) -> None:
    """Wait until every instance serves a version."""
    for instance in system.instances:
        processes.wait_until(
            functools.partial(serves, instance.address, version),
            f'{instance.name} serves version {version}',
            _APPLY_TIMEOUT_S,
        )


def serves(address: str, version: int) -> bool:
    """Return whether an instance serves a version or a later one."""
    reply = calls.call(
        'GET', address, '/v1/config', headers=bearer(fleet.OPERATOR_TOKEN)
    )
    extra = reply.decoded().get('extra') or {}
    return bool(extra.get('version', -1) >= version)


def submit(
    address: str, count: int, run_ms: int, deadline_ms: int
) -> calls.Reply:
    """Submit a job of equal tasks and wait for the response.

    Args:
        address: Client address of an instance.
        count: Number of tasks of the job.
        run_ms: Run time of each task, milliseconds.
        deadline_ms: Deadline of the job, milliseconds.

    Returns:
        The response.
    """
    task = {'payload': {'run_ms': run_ms}}
    tasks = list(itertools.repeat(task, count))
    return calls.call(
        'POST',
        address,
        f'/v1/jobs/{JOB}/submissions',
        body={'tasks': tasks, 'deadline_ms': deadline_ms},
        headers=bearer(_CLIENT_TOKEN),
        timeout_s=deadline_ms / 1000 + 5,
    )


def pid_of(instance: fleet.EntryInstance) -> int:
    """Return the process id of an instance that was started."""
    if instance.process is None:
        raise ValueError(f'{instance.name} was not started')
    return instance.process.child.pid
