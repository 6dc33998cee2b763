"""Fleets of the capacity runs, and requests to them."""

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
_SETTLE_S: Final = 60


def bearer(token: str) -> dict[str, str]:
    """Return the header that carries a token."""
    return {'Authorization': f'Bearer {token}'}


@contextlib.contextmanager
def running(plan: fleet.FleetPlan) -> Iterator[fleet.Fleet]:
    """Run a fleet whose configuration takes the bench's job.

    Args:
        plan: What to start.

    Yields:
        The fleet, every instance ready and at version 1.
    """
    with fleet.Fleet(plan=plan) as system:
        system.start()
        patch(system, 0, base_document())
        wait_version(system, 1)
        yield system


def base_document() -> dict[str, Any]:
    """Return the configuration of the bench."""
    return {
        'teams': {TEAM: {'max_queued_tasks': _MAX_QUEUED}},
        'jobs': {JOB: {'teams': [TEAM], 'max_tasks': _MAX_TASKS}},
    }


def patch(system: fleet.Fleet, base: int, change: dict[str, Any]) -> int:
    """Send a patch to the first instance.

    Args:
        system: The fleet.
        base: Version that the patch names.
        change: Merge patch.

    Returns:
        HTTP status of the answer.
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
            _SETTLE_S,
        )


def serves(address: str, version: int) -> bool:
    """Return whether an instance serves at least a version."""
    reply = calls.call(
        'GET', address, '/v1/config', headers=bearer(fleet.OPERATOR_TOKEN)
    )
    shown = reply.decoded().get('extra') or {}
    return bool(shown.get('version', -1) >= version)


def submit(
    address: str, count: int, run_ms: int, deadline_ms: int
) -> calls.Reply:
    """Submit a job of equal tasks and wait for its answer.

    Args:
        address: Client address of an instance.
        count: Tasks of the job.
        run_ms: Run time of each, milliseconds.
        deadline_ms: Deadline of the job, milliseconds.

    Returns:
        The answer.
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
    """Return the process id of a started instance."""
    if instance.process is None:
        raise ValueError(f'{instance.name} was not started')
    return instance.process.child.pid
