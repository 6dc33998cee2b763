"""Jobs sent at times fixed beforehand, so that a slow system gets no relief."""

import dataclasses
import time
from concurrent import futures
from http import HTTPStatus
from typing import Final

from bench.capacity import systems

_SENDERS: Final = 64
_DEADLINE_MS: Final = 30_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """A steady load on one instance.

    Attributes:
        address: Client address of the instance.
        starts_per_s: Task starts a second.
        tasks_per_job: Tasks of each job.
        run_ms: Run time of each task, milliseconds.
        seconds: Length.
    """

    address: str
    starts_per_s: float
    tasks_per_job: int
    run_ms: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadResult:
    """What came of a load.

    Attributes:
        jobs: Jobs sent.
        complete: Jobs answered whole.
        elapsed_s: Seconds from the first arrival to the last answer.
    """

    jobs: int
    complete: int
    elapsed_s: float


def send(load: Load) -> LoadResult:
    """Send a load and wait for every answer."""
    jobs = round(load.starts_per_s * load.seconds / load.tasks_per_job)
    spacing_s = load.tasks_per_job / load.starts_per_s
    began = time.monotonic()
    with futures.ThreadPoolExecutor(_SENDERS) as pool:
        sent = []
        for number in range(jobs):
            due = began + number * spacing_s
            time.sleep(max(0, due - time.monotonic()))
            sent.append(pool.submit(_send_one, load))
        complete = sum(one.result() for one in sent)
    return LoadResult(
        jobs=jobs, complete=complete, elapsed_s=time.monotonic() - began
    )


def _send_one(load: Load) -> bool:
    reply = systems.submit(
        load.address, load.tasks_per_job, load.run_ms, _DEADLINE_MS
    )
    return reply.status == HTTPStatus.OK
