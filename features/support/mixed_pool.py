"""Checks of the worker pool with processes of two builds."""

import collections
import contextlib
import signal
import subprocess
import time

from support import mixed_fleet, platform_fleet, soak_checks

JOBS_PER_S = 25
FAULTS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
MAX_FAULTS = 40
ENDED_EVENTS = frozenset(('job_completed', 'job_failed'))


def check_agents(builds):
    """Replace allocators while instances of one build are worker agents."""
    return check_pool(builds, platform_fleet.SMALL_LINK_MBPS)


def check_pool(builds, link_mbps=platform_fleet.LARGE_LINK_MBPS):
    """Replace allocators by each kind of fault; yield what was done."""
    pool = platform_fleet.PlatformFleet(
        instances=4,
        workers=6,
        pythons=tuple(builds.pythons.values()),
        link_mbps=link_mbps,
    )
    with contextlib.ExitStack() as stack:
        stack.callback(pool.stop)
        pool.wait_ready()
        pool.load(2, JOBS_PER_S, work_ms=50)
        run = PoolRun(pool, builds)
        for _ in range(MAX_FAULTS):
            run.replace_allocator()
            if run.is_covered():
                break
        assert run.is_covered(), run.elections
        for direction, kinds in sorted(run.elections.items()):
            yield f'election {" -> ".join(direction)}: {sorted(kinds)}'
        yield run.check_answers()
        run.check_explained()
        yield 'jobs in the logs of both builds explained by both'


class PoolRun:
    """Allocators replaced in a fleet of two builds.

    Attributes:
        elections: Kinds of faults by the builds of the allocators before and
            after.
    """

    def __init__(self, pool, builds):
        self.pool = pool
        self.builds = builds
        self.disruptions = []
        self.stops = []
        self.elections = collections.defaultdict(set)

    def is_covered(self):
        """Return whether each kind of fault led to an election each way."""
        ways = (
            (mixed_fleet.THIS_BUILD, mixed_fleet.OTHER_BUILD),
            (mixed_fleet.OTHER_BUILD, mixed_fleet.THIS_BUILD),
        )
        return all(len(self.elections[way]) == len(FAULTS) for way in ways)

    def missing_fault(self, process):
        """Return a kind of fault that has not yet ended a term of a build.

        Args:
            process: Process of the allocator that is to be replaced.

        Returns:
            A kind without an election to the other build; any if all had one.
        """
        build = self.build_of(process)
        seen = set()
        for way, kinds in self.elections.items():
            if way[0] == build and way[1] != build:
                seen = kinds
        missing = [kind for kind in FAULTS if kind.name not in seen]
        return missing[0] if missing else FAULTS[0]

    def replace_allocator(self):
        """End or pause the allocator under load, and bring its process back."""
        previous = self.wait_allocator()
        kind = self.missing_fault(previous)
        disruption = soak_checks.Disruption(
            kind='pause' if kind is signal.SIGSTOP else 'kill',
            subject=previous.name,
            begun_s=time.monotonic(),
        )
        is_planned = kind is signal.SIGTERM
        (self.stops if is_planned else self.disruptions).append(disruption)
        previous.signal(kind)
        self.pool.load(2, JOBS_PER_S, work_ms=50)
        successor = self.wait_allocator(other_than=previous)
        resume(previous, kind)
        disruption.ended_s = time.monotonic()
        self.pool.wait_ready()
        self.pool.load(1, JOBS_PER_S, work_ms=50)
        way = (self.build_of(previous), self.build_of(successor))
        self.elections[way].add(kind.name)

    def wait_allocator(self, other_than=None):
        """Return the allocating process, once it is another than a given one."""
        ended_s = time.monotonic() + mixed_fleet.CONVERGE_TIMEOUT_S
        while True:
            found = self.pool.allocating_process()
            if found is not None and found is not other_than:
                return found
            assert time.monotonic() < ended_s, 'no allocator in time'
            time.sleep(mixed_fleet.RETRY_INTERVAL_S)

    def build_of(self, process):
        """Return which build a process runs."""
        return self.builds.build_of(process.python)

    def check_answers(self):
        """Check every answer as the soak does; return the counts by status."""
        pool = self.pool
        ended_s = time.monotonic() + mixed_fleet.ANSWER_TIMEOUT_S
        while len(pool.answers) < pool.submitted_count:
            assert time.monotonic() < ended_s, 'a request without an end'
            time.sleep(mixed_fleet.RETRY_INTERVAL_S)
        violations = soak_checks.violations(
            soak_checks.Observations(
                answers=list(pool.answers),
                state=pool.control('/state'),
                disruptions=self.disruptions,
                stops=self.stops,
                versions={},
            )
        )
        assert not violations, violations
        statuses = collections.Counter(answer.status for answer in pool.answers)
        return f'{len(pool.answers)} answers by status: {dict(statuses)}'

    def check_explained(self):
        """Let both builds explain a job that each build has logged."""
        for process in self.pool.processes[:2]:
            jobs = [
                line['job']
                for line in process.log_events()
                if line['event'] in ENDED_EVENTS
            ]
            for python in self.builds.pythons.values():
                explain(python, jobs[-1], process.log)


def resume(process, kind):
    """Continue a paused process, or start an ended one again."""
    if kind is signal.SIGSTOP:
        process.signal(signal.SIGCONT)
        return
    process.child.wait(timeout=soak_checks.GRACE_S)
    process.start()


def explain(python, job_id, log):
    """Explain a job with `guavaroadctl` of the build of an interpreter."""
    command = [python, '-m', 'guavaroadctl.main', 'explain', job_id, str(log)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr
    assert any(event in done.stdout for event in ENDED_EVENTS), done.stdout
