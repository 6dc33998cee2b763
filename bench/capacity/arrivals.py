"""Open-loop load: jobs are sent at a fixed rate, however slow the system is."""

import dataclasses
import time
from concurrent import futures
from http import HTTPStatus
from typing import Final

from bench.capacity import systems

_SENDER_THREADS: Final = 64
_DEADLINE_MS: Final = 30_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """A constant load on one instance.

    Attributes:
        address: Client address of the instance.
        starts_per_s: Task starts per second.
        tasks_per_job: Tasks of each job.
        run_ms: Run time of each task, milliseconds.
        seconds: Duration.
    """

    address: str
    starts_per_s: float
    tasks_per_job: int
    run_ms: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadResult:
    """Result of a load.

    Attributes:
        jobs: Jobs sent.
        complete: Jobs answered with 200.
        elapsed_s: Seconds from the first scheduled job to the last response.
    """

    jobs: int
    complete: int
    elapsed_s: float


def send(load: Load) -> LoadResult:
    """Send a load and wait for every response."""
    jobs = round(load.starts_per_s * load.seconds / load.tasks_per_job)
    spacing_s = load.tasks_per_job / load.starts_per_s
    started_s = time.monotonic()
    with futures.ThreadPoolExecutor(_SENDER_THREADS) as pool:
        submissions = []
        for number in range(jobs):
            due_s = started_s + number * spacing_s
            time.sleep(max(0, due_s - time.monotonic()))
            submissions.append(pool.submit(_send_job, load))
        complete = sum(submission.result() for submission in submissions)
    return LoadResult(
        jobs=jobs, complete=complete, elapsed_s=time.monotonic() - started_s
    )


def _send_job(load: Load) -> bool:
    reply = systems.submit(
        load.address, load.tasks_per_job, load.run_ms, _DEADLINE_MS
    )
    return reply.status == HTTPStatus.OK
