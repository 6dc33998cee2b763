"""A randomized soak: real processes, faults from outside, promises checked.

A seed draws a series of faults that may overlap: processes killed, stopped and
started, paused; the store away, slow, forgetful; connections delayed, reset,
cut one way or silenced by a proxy; workers that crash, leave, fail or are slow.
Clients hand jobs in all the while on connections that they keep open.
"""

import contextlib
import dataclasses
import functools
import random
import time

from support import (
    loopback_proxy,
    platform_fleet,
    soak_checks,
    soak_faults,
)

LONGEST_GAP_S = 1.2
# Time to start: of one process while the others start too, and of any number.
START_S = 1.5
LEAST_START_S = 20
SETTLE_S = 2.5
# Time in which the last answers come, in seconds.
ANSWERS_S = 15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """How large a run is.

    Attributes:
        instances: Processes of the program.
        workers: Workers.
        faults: Faults that are drawn.
        jobs_per_s: Jobs that clients hand in each second.
    """

    instances: int = 4
    workers: int = 9
    faults: int = 7
    jobs_per_s: int = 25

    def start_s(self):
        """Return how long all processes may take to start, in seconds."""
        return LEAST_START_S + START_S * self.instances


class Soak:
    """One run from one seed.

    Attributes:
        steps: What was done, for the report of a failure.
        disruptions: What was unplanned, and when.
        stops: Planned stops, and when.
        versions: When each configuration was acknowledged, by its queue.
        undo: What ends the faults that are on, oldest first.
    """

    def __init__(self, seed, size=None):
        self.drawn = random.Random(seed)
        self.size = size or Size()
        self.proxy = loopback_proxy.Proxy()
        self.fleet = platform_fleet.PlatformFleet(
            instances=self.size.instances,
            workers=self.size.workers,
            proxy=self.proxy,
        )
        self.begun_s = time.monotonic()
        self.steps = []
        self.disruptions = []
        self.stops = []
        self.versions = {}
        self.undo = []

    def run(self, plant=None):
        """Play the faults, let them end, and return what was broken.

        Args:
            plant: Called with this soak in the midst of it, to break a promise.
        """
        with contextlib.closing(self):
            try:
                self.play(plant)
            except AssertionError as error:
                return [str(error)]
            return self.broken()

    def close(self):
        """End everything that was started."""
        self.fleet.stop()

    def play(self, plant):
        """Play the faults under load, then let all be well again."""
        self.fleet.wait_ready(self.size.start_s())
        if plant is not None:
            self.load(0.5)
            plant(self)
            self.load(1)
        for _ in range(self.size.faults):
            self.fault()
            self.load(self.drawn.uniform(0.2, LONGEST_GAP_S))
            self.undo_some()
        self.undo_all()
        self.load(SETTLE_S)

    def load(self, seconds):
        """Hand jobs in for a while, some to the newest queue."""
        newest = max(self.versions, key=self.versions.get, default=None)
        queue = self.drawn.choice((None, newest))
        self.fleet.load(
            seconds,
            self.size.jobs_per_s,
            tasks=self.drawn.randint(1, 4),
            work_ms=self.drawn.choice((30, 60, 200, 600)),
            urgency=self.drawn.randint(0, 2),
            queue=queue,
        )

    def fault(self):
        """Let one drawn fault strike."""
        choice = self.drawn.choice(soak_faults.FAULTS)
        since_ms = int((time.monotonic() - self.begun_s) * 1000)
        self.steps.append(f'{since_ms} {choice.__name__} {choice(self)}')

    def alive(self):
        """Return the processes that run."""
        return [one for one in self.fleet.processes if one.child.poll() is None]

    def any_alive(self):
        """Return a process that runs."""
        return self.drawn.choice(self.alive())

    def begin(self, kind, subject=''):
        """Note a disruption; return it."""
        noted = soak_checks.Disruption(
            kind=kind, subject=subject, begun_s=time.monotonic()
        )
        self.disruptions.append(noted)
        return noted

    def until_undone(self, noted, action):
        """End a disruption later by some action."""
        self.undo.append(functools.partial(end_disruption, noted, action))

    def undo_some(self):
        """End some of the faults."""
        keep = self.drawn.randint(0, 2)
        while len(self.undo) > keep:
            self.undo.pop(0)()

    def undo_all(self):
        """End every fault."""
        while self.undo:
            self.undo.pop(0)()
        self.fleet.wait_ready()

    def broken(self):
        """Return what was broken, as clients and workers saw it."""
        fleet = self.fleet
        ended_s = time.monotonic() + ANSWERS_S
        while (
            len(fleet.answers) < fleet.submitted_count
            and time.monotonic() < ended_s
        ):
            time.sleep(0.05)
        found = soak_checks.broken(
            soak_checks.Seen(
                answers=list(fleet.answers),
                state=fleet.control('/state'),
                disruptions=self.disruptions,
                stops=self.stops,
                versions=self.versions,
            )
        )
        found.extend(map(unanswered, fleet.submissions))
        return [*filter(None, found), *self.not_served()]

    def not_served(self):
        """Return which processes do not serve when all is well again.

        Lines that were silenced stay so: clients connect anew.
        """
        return [
            f'{one.name} does not serve'
            for one in self.fleet.processes
            if not self.is_served(one)
        ]

    def is_served(self, one):
        """Return whether a process serves a job on a new line."""
        one.connections.clear()
        answered = self.fleet.submit(one, tasks=1, work_ms=10)
        return answered.result() == 200


def end_disruption(noted, action):
    """End a disruption by some action, and note when."""
    action()
    noted.ended_s = time.monotonic()


def unanswered(sending):
    """Return why a client has kept no answer; empty if it has."""
    if not sending.done():
        return 'a request without an end'
    error = sending.exception()
    return f'a client failed: {error!r}' if error else ''
