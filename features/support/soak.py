"""A randomized soak test: injects faults into real processes.

A seed draws a series of faults that may overlap: processes are killed,
stopped and restarted, or suspended; the store is unavailable, slow or loses
its change feed; a proxy delays, resets or stalls connections; workers crash,
leave, fail or are slow. Clients submit jobs all the while on persistent
connections. On request, some tasks crash the workers that start them, and
clients send jobs again. Afterwards the invariants are checked.
"""

import contextlib
import dataclasses
import functools
import json
import random
import time
from concurrent import futures

from support import (
    loopback_proxy,
    platform_fleet,
    soak_checks,
    soak_faults,
)

MAX_FAULT_INTERVAL_S = 1.2
# Start-up time: the share of each process, and the minimum for a fleet.
START_TIMEOUT_PER_PROCESS_S = 1.5
MIN_START_TIMEOUT_S = 20
RECOVERY_S = 2.5
# Time allowed for the last responses to each time that a job is sent.
RESPONSE_TIMEOUT_S = 15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Size of a run.

    Attributes:
        instances: Number of processes of the program.
        workers: Number of workers.
        faults: Number of faults that are drawn.
        jobs_per_s: Jobs that clients submit per second.
        link_mbps: Capacity of each process's link by its settings, in Mbit/s.
        has_deadly_tasks: Whether the faults include tasks that crash workers.
        resends: How often clients send a job again that has no result.
    """

    instances: int = 4
    workers: int = 9
    faults: int = 7
    jobs_per_s: int = 25
    link_mbps: int = platform_fleet.LARGE_LINK_MBPS
    has_deadly_tasks: bool = False
    resends: int = 0

    def start_timeout_s(self):
        """Return how long all processes may take to start, in seconds."""
        return (
            MIN_START_TIMEOUT_S + START_TIMEOUT_PER_PROCESS_S * self.instances
        )

    def faults_to_draw(self):
        """Return the faults among which each is drawn."""
        if self.has_deadly_tasks:
            return soak_faults.FAULTS + soak_faults.DEADLY_FAULTS
        return soak_faults.FAULTS

    def recovery_s(self):
        """Return how long the load continues after the faults, in seconds."""
        if self.has_deadly_tasks:
            return RECOVERY_S + soak_faults.MAX_WORKER_RESTART_S
        return RECOVERY_S


class Soak:
    """One run with one seed.

    Attributes:
        steps: Injected faults, for the failure report.
        disruptions: Unplanned disruptions with their times.
        stops: Planned stops with their times.
        versions: When each configuration was acknowledged, by its queue.
        undo: Callables that end the active faults, oldest first.
    """

    def __init__(self, seed, size=None):
        self.random = random.Random(seed)
        self.size = size or Size()
        self.proxy = loopback_proxy.Proxy()
        self.fleet = platform_fleet.PlatformFleet(
            instances=self.size.instances,
            workers=self.size.workers,
            proxy=self.proxy,
            link_mbps=self.size.link_mbps,
        )
        self.fleet.resends = self.size.resends
        self.started_s = time.monotonic()
        self.steps = []
        self.disruptions = []
        self.stops = []
        self.versions = {}
        self.undo = []

    def run(self, inject=None):
        """Inject the faults, end them, and return the violations.

        Args:
            inject: Called with this soak during the run, to violate an
                invariant.
        """
        with contextlib.closing(self):
            try:
                self.inject_faults(inject)
            except AssertionError as error:
                return [str(error)]
            return self.violations()

    def close(self):
        """Stop everything that was started."""
        self.fleet.stop()

    def inject_faults(self, inject):
        """Inject the faults under load, then wait for recovery."""
        self.fleet.wait_ready(self.size.start_timeout_s())
        if inject is not None:
            self.load(0.5)
            inject(self)
            self.load(1)
        for _ in range(self.size.faults):
            self.inject_fault()
            self.load(self.random.uniform(0.2, MAX_FAULT_INTERVAL_S))
            self.undo_some()
        self.undo_all()
        self.load(self.size.recovery_s())

    def load(self, seconds):
        """Submit jobs for some seconds, some of them to the newest queue."""
        newest = max(self.versions, key=self.versions.get, default=None)
        queue = self.random.choice((None, newest))
        self.fleet.load(
            seconds,
            self.size.jobs_per_s,
            tasks=self.random.randint(1, 4),
            work_ms=self.random.choice((30, 60, 200, 600)),
            urgency=self.random.randint(0, 2),
            queue=queue,
        )

    def inject_fault(self):
        """Inject one randomly chosen fault."""
        fault = self.random.choice(self.size.faults_to_draw())
        elapsed_ms = int((time.monotonic() - self.started_s) * 1000)
        self.steps.append(f'{elapsed_ms} {fault.__name__} {fault(self)}')

    def choose_live_process(self):
        """Return a random process that runs."""
        return self.random.choice(self.fleet.live_processes())

    def begin_disruption(self, kind, subject=''):
        """Record the begin of a disruption; return it."""
        disruption = soak_checks.Disruption(
            kind=kind, subject=subject, begun_s=time.monotonic()
        )
        self.disruptions.append(disruption)
        return disruption

    def undo_later(self, disruption, action):
        """Register the action that ends a disruption."""
        self.undo.append(functools.partial(end_disruption, disruption, action))

    def undo_some(self):
        """End the oldest faults until a random number is left."""
        remaining = self.random.randint(0, 2)
        while len(self.undo) > remaining:
            self.undo.pop(0)()

    def undo_all(self):
        """End every fault."""
        while self.undo:
            self.undo.pop(0)()
        self.fleet.wait_ready()

    def violations(self):
        """Return the violations that clients and workers observed."""
        fleet = self.fleet
        futures.wait(
            fleet.submissions,
            timeout=RESPONSE_TIMEOUT_S * (1 + self.size.resends),
        )
        fleet.resends = 0
        answers = list(fleet.answers)
        state = fleet.control('/state')
        self.write_observations(answers, state)
        found = soak_checks.violations(
            soak_checks.Observations(
                answers=answers,
                state=state,
                disruptions=self.disruptions,
                stops=self.stops,
                versions=self.versions,
            )
        )
        found.extend(map(missing_response, fleet.submissions))
        return [*filter(None, found), *self.unserved_processes()]

    def write_observations(self, answers, state):
        """Write what clients and workers observed beside the logs."""
        lines = '\n'.join(map(str, answers))
        (self.fleet.folder / 'answers.txt').write_text(lines)
        (self.fleet.folder / 'state.json').write_text(json.dumps(state))

    def unserved_processes(self):
        """Return which processes do not serve after all faults have ended.

        Connections that were stalled stay so; clients open new ones.
        """
        return [
            f'{process.name} does not serve'
            for process in self.fleet.processes
            if not self.is_serving(process)
        ]

    def is_serving(self, process):
        """Return whether a process serves a job on a new connection."""
        process.connections.clear()
        submission = self.fleet.submit(process, tasks=1, work_ms=10)
        return submission.result() == 200


def end_disruption(disruption, action):
    """End a disruption by an action, and record when."""
    action()
    disruption.ended_s = time.monotonic()


def missing_response(submission):
    """Return why a client recorded no response; empty if it did."""
    if not submission.done():
        return 'a request did not end'
    error = submission.exception()
    return f'a client failed: {error!r}' if error else ''
