"""Memory of many terms as allocator: `python -m bench.terms [terms]`.

One instance with simulated workers, on a simulated clock, allocates, serves
jobs and retires, again and again.  The collector of cyclic garbage is set as in
the platform program.

Prints the resident memory; exits with 1 if it grows by more than a tenth from
the first term to the last one.
"""

import collections
import pathlib
import resource
import sys
from typing import Any, Final

from twisted.internet import task

from guavaroad.adapters import garbage, reactor_timers
from guavaroad.domain import names
from guavaroad.domain.pool import (
    open_jobs,
    peer_messages,
    routing,
    values,
    worker,
)
from guavaroad.ports import pool
from guavaroad.services.pool import decision_log, dependencies, pool_instance
from guavaroad_standins import pool_cluster, pool_connections, pool_worker

TERMS: Final = 200
MAX_GROWTH: Final = 1.1
WORKERS: Final = 9
JOBS: Final = 40
TASKS: Final = 4
TASK_CPU: Final = 4000
TASK_MS: Final = 100
STEP_S: Final = 0.01
# Simulated time of the jobs of a term, in seconds.
TERM_S: Final = 2.5
ELECTION_TIMEOUT_S: Final = 30
NAME: Final = values.InstanceName('a')
ZONE: Final = names.AvailabilityZone('zone-a')
BYTES_PER_MB: Final = 1_000_000
LINK_BYTES_PER_S: Final = 1_500_000


class Log:
    """Drops the log."""

    def write(self, event: str, fields: Any) -> None:
        """Drop a line."""

    def record_event(self, event: str, _: Any) -> None:
        """Drop an event."""

    def record_job(self, outcome: str, reason: str, _: Any) -> None:
        """Drop an outcome."""


class Codec:
    """Decodes the rows of the in-memory store."""

    def __init__(self, *, store: pool_cluster.MemoryStore) -> None:
        self.store = store

    def worker_infos(self, _: pool.WorkerRows) -> tuple[worker.WorkerInfo, ...]:
        """Return the workers."""
        return tuple(self.store.worker_infos)

    def configuration(self, body: bytes) -> routing.Configuration:
        """Return a configuration with the version in the text."""
        return routing.Configuration(
            version=names.Version(int(body)),
            routes=(),
            limits=routing.Limits(),
        )


class System:
    """An instance, its workers and the store.

    Attributes:
        clock: Simulated clock.
        node: The instance.
        outcomes: Number of jobs by the kind of outcome.
        jobs: Number of jobs submitted.
    """

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.jobs = 0
        self.history = pool_worker.RunHistory()
        workers = {}
        for number in range(WORKERS):
            listed = pool_worker.worker_info_of(number, zone=ZONE)
            workers[listed.worker_id] = pool_worker.SimWorker(
                clock=self.clock, worker_info=listed, history=self.history
            )
        store = pool_cluster.MemoryStore()
        store.worker_infos = tuple(
            sim_worker.worker_info for sim_worker in workers.values()
        )
        self.workers = workers
        self.calls = pool_connections.SimWorkers(
            clock=self.clock, workers=workers, reaches=lambda _: True
        )
        self.network = pool_cluster.Network(clock=self.clock)
        self.node = self.create_node(store)
        self.network.listeners[NAME] = (
            NAME,
            self.node.allocator_follower.accept,
        )
        self.node.start()

    def create_node(
        self, store: pool_cluster.MemoryStore
    ) -> pool_instance.PoolInstance:
        """Return the instance."""
        timers = reactor_timers.ReactorTimers(clock=self.clock)
        log = Log()
        return pool_instance.PoolInstance(
            local_instance=peer_messages.Instance(
                name=NAME, address=NAME, zone=ZONE
            ),
            deps=dependencies.Dependencies(
                workers=self.calls,
                cluster=pool_cluster.MemoryCluster(
                    clock=self.clock, store=store
                ),
                codec=Codec(store=store),
                dialler=pool_cluster.MemoryDialler(
                    network=self.network, owner=NAME
                ),
                timers=timers,
                link_bytes_per_s=LINK_BYTES_PER_S,
                worker_list_period_s=1,
                collect_garbage=garbage.collect,
                decision_log=decision_log.DecisionLog(
                    writer=log, counters=log, timer_service=timers
                ),
            ),
            on_configuration=lambda _: None,
        )

    def run(self, seconds: float) -> None:
        """Let simulated time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def serve_term(self) -> None:
        """Wait for the next term, serve jobs, and retire."""
        until_s = self.clock.seconds() + ELECTION_TIMEOUT_S
        while self.node.active_allocator is None:
            self.run(STEP_S)
            if self.clock.seconds() > until_s:
                raise TimeoutError('not elected')
        for _ in range(JOBS):
            self.submit()
            self.run(TERM_S / JOBS)
        self.node.stop_allocating(retiring=True)
        self.forget()

    def forget(self) -> None:
        """Drop what only the simulation records."""
        history = self.history
        history.starts.clear()
        history.done.clear()
        for name, count in tuple(history.running.items()):
            if not count:
                history.running.pop(name)
        for sim_worker in self.workers.values():
            sim_worker.stopped.clear()
        self.calls.task_starts.clear()
        self.network.links.clear()
        self.network.messages.clear()

    def submit(self) -> None:
        """Submit a job."""
        self.jobs += 1
        job_id = format(self.jobs, '016x')
        tasks = tuple(
            open_jobs.TaskRequest(
                name=values.TaskName(f'{job_id}.{index}'),
                need=values.Amount(cpu=TASK_CPU),
                estimate_ms=TASK_MS,
            )
            for index in range(TASKS)
        )
        self.node.job_owner.submit(
            open_jobs.JobRequest(
                job_id=values.JobId(job_id),
                pool=names.PoolName('pool'),
                urgency=1,
                max_attempts=4,
                payload='',
                estimate_ms=TASK_MS,
                objective_ms=TASK_MS,
                client_timeout_ms=TERMS * TASK_MS,
                tasks=tasks,
            ),
            lambda outcome: self.outcomes.update([type(outcome).__name__]),
        )


def resident_mb() -> float:
    """Return the resident memory of this process, in MB."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize() / BYTES_PER_MB


def main(terms: int = TERMS) -> bool:
    """Run the benchmark; return whether the limit is kept."""
    system = System()
    garbage.exempt_startup_objects()
    print('start', round(resident_mb(), 1), 'MB')
    system.serve_term()
    first_mb = resident_mb()
    print('term 1', round(first_mb, 1), 'MB')
    last_mb = first_mb
    for number in range(2, terms + 1):
        system.serve_term()
        last_mb = resident_mb()
        if not number % 25:
            print('term', number, round(last_mb, 1), 'MB', flush=True)
    print('jobs:', dict(system.outcomes))
    return last_mb <= first_mb * MAX_GROWTH


if __name__ == '__main__':
    given = [int(argument) for argument in sys.argv[1:]]
    sys.exit(not main(*given))
