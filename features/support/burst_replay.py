"""A burst of jobs beyond the capacity, replayed against the allocator alone.

Three kinds as users have described them: urgent ones of 8 tasks of 60 ms, middle
ones of 2 x 200 ms, the least urgent of 4 x 900 ms, with tasks of about 32 cores
on workers of 64. Estimates are off by 40 %, and 3 % of the tasks take seven times
as long. The workers start at once and report each end.
"""

import collections
import dataclasses
import heapq
import itertools

from guavaroad.domain.pool import (
    actions,
    allocator,
    messages,
    outcomes,
    placement,
    values,
)
from guavaroad_standins import pool_worker

WORKER_CPU = 64_000
TICK_S = 0.02
POLL_S = 0.25
CALL_S = 0.001
# The burst begins after the workers are known, and the replay ends when its last
# job has been answered.
BEGIN_S = 2
DRAIN_S = 6
STRETCH = 1.6
ALLOWANCE_S = 0.06
TIMEOUT_BASE_S = 1.5
OBJECTIVES_TO_TIMEOUT = 3
LONG_SHARE = 0.03
LONG_RATIO = 7
# Cores that work can fill if its lengths are known.
ORACLE_CORE_SHARE = 0.9
CROWD = values.InstanceName('i0')


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job: urgency, tasks, run time and share of the arrivals."""

    urgency: int
    tasks: int
    work_s: float
    weight: float


KINDS = (
    Kind(0, 8, 0.06, 206),
    Kind(1, 2, 0.2, 600),
    Kind(2, 4, 0.9, 37.5),
)


@dataclasses.dataclass(eq=False)
class Arrival:
    """A job that arrives, and how it was answered."""

    at_s: float
    kind: Kind
    owner: str
    declared: messages.Declare
    work_s: tuple
    objective_s: float
    core_s: float
    timeout_s: float
    left: int
    done_s: float | None = None
    refused_s: float | None = None
    retry_after_ms: int = 0
    fits: bool = False
    started: bool = False
    lied: bool = False

    def is_in_time(self):
        """Return whether it was answered within its objective."""
        return (
            self.done_s is not None
            and self.done_s - self.at_s <= self.objective_s
        )


def arrivals_of(*, rng, per_s, seconds, crowd_share=0):
    """Return the jobs of a burst in the order of arrival."""
    found = []
    at_s = BEGIN_S
    while at_s < BEGIN_S + seconds:
        at_s += rng.expovariate(per_s)
        kind = rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
        owner = CROWD
        if rng.random() >= crowd_share:
            owner = f'i{rng.randrange(8)}'
        found.append(arrival_of(rng, f'{len(found):016x}', at_s, kind, owner))
    return found


def arrival_of(rng, job_id, at_s, kind, owner):
    """Return one job with random sizes and lengths."""
    tasks = max(1, round(kind.tasks * rng.lognormvariate(-0.08, 0.4)))
    mean_s = kind.work_s * rng.lognormvariate(-0.08, 0.4)
    work_s = [mean_s * rng.lognormvariate(0, 0.15) for _ in range(tasks)]
    estimate_s = mean_s * rng.lognormvariate(-0.08, 0.4)
    cpus = [
        int(min(max(rng.gauss(32_000, 6400), 16_000), 48_000)) for _ in work_s
    ]
    actual_s = [
        one_s * rng.choices((1, LONG_RATIO), (1 - LONG_SHARE, LONG_SHARE))[0]
        for one_s in work_s
    ]
    objective_s = STRETCH * max(actual_s) + ALLOWANCE_S
    expected_s = STRETCH * estimate_s + ALLOWANCE_S
    timeout_s = TIMEOUT_BASE_S + OBJECTIVES_TO_TIMEOUT * expected_s
    declared = messages.Declare(
        job=values.JobId(job_id),
        pool='pool',
        urgency=kind.urgency,
        max_attempts=4,
        payload='',
        estimate_ms=int(estimate_s * 1000),
        age_ms=0,
        objective_ms=int((expected_s - estimate_s) * 1000),
        client_timeout_ms=int(timeout_s * 1000),
        tasks=tuple(
            messages.DeclaredTask(
                name=values.TaskName(f'{job_id}.{index}'), cpu=cpu
            )
            for index, cpu in enumerate(cpus)
        ),
    )
    return Arrival(
        at_s=at_s,
        kind=kind,
        owner=owner,
        declared=declared,
        work_s=tuple(actual_s),
        objective_s=objective_s,
        core_s=sum(map(_core_s, cpus, actual_s)),
        timeout_s=timeout_s,
        left=tasks,
    )


def _core_s(cpu, work_s):
    return cpu / 1000 * work_s


class BurstReplay:
    """Replays a burst against an allocator."""

    def __init__(self, *, workers, arrivals):
        self.now_s = 0
        self.arrivals = {job.declared.job: job for job in arrivals}
        self.machine = allocator.Allocator(token=values.Token(2), now_s=0)
        self.running = collections.defaultdict(dict)
        self.positions = collections.Counter()
        self.logged = collections.Counter()
        self.order = itertools.count()
        self.events = []
        infos = [
            pool_worker.worker_info_of(number, zone='a', cpu=WORKER_CPU)
            for number in range(workers)
        ]
        self.cores = workers * WORKER_CPU / 1000
        self.machine.update_workers(infos, 0)
        self.infos = {listed.worker_id: listed for listed in infos}
        for number, worker_id in enumerate(self.infos):
            self.at(POLL_S * number / workers, self.poll, worker_id)
        for job in arrivals:
            self.at(job.at_s, self.arrive, job)
        self.at(0, self.tick)

    def at(self, when_s, call, *args):
        """Call back at a time."""
        heapq.heappush(self.events, (when_s, next(self.order), call, args))

    def run(self):
        """Replay everything."""
        end_s = max(job.at_s for job in self.arrivals.values()) + DRAIN_S
        while self.events[0][0] < end_s:
            event = heapq.heappop(self.events)
            self.now_s = event[0]
            call, args = event[2:]
            call(*args)
            self.machine.place(self.now_s)
            self.execute()
        return self

    def tick(self):
        """Let the allocator decide by time."""
        self.machine.tick(self.now_s)
        self.at(self.now_s + TICK_S, self.tick)

    def arrive(self, job):
        """Declare a job."""
        capacity = self.machine.state.pool('pool').capacity
        # Read before the decision, by plain search over all workers.
        free = [
            [worker.free_cpu]
            for worker in capacity.workers.values()
            if placement.is_usable(worker, self.now_s)
        ]
        job.fits = all(
            self.fits_one(task.cpu, free) for task in job.declared.tasks
        )
        self.machine.job_admission.declare(job.owner, job.declared, self.now_s)

    def fits_one(self, cpu, free):
        """Take room for a task; return whether there is any."""
        fitting = [entry for entry in free if entry[0] >= cpu]
        if not fitting:
            return False
        min(fitting, key=lambda entry: entry[0])[0] -= cpu
        return True

    def poll(self, worker_id):
        """Receive a report, and poll again later."""
        self.machine.state.workers[worker_id].lease.extend(self.now_s)
        self.report(worker_id)
        self.at(self.now_s + POLL_S, self.poll, worker_id)

    def report(self, worker_id, ended=()):
        """Receive the report of a worker."""
        self.machine.reports.record_report(
            worker_id=worker_id,
            report=outcomes.RunReport(
                clock_ms=int(self.now_s * 1000),
                started_ms=self.infos[worker_id].started_ms,
                running=tuple(
                    outcomes.ListedRun(
                        task=name,
                        number=number,
                        percent=self.percent_of(name, started_s),
                    )
                    for name, (number, started_s) in self.running[
                        worker_id
                    ].items()
                ),
                ended=ended,
            ),
            sent_s=self.now_s,
            now_s=self.now_s,
        )

    def percent_of(self, name, started_s):
        """Return the progress of a run."""
        job_id, index = name.split('.')
        work_s = self.arrivals[job_id].work_s[int(index)]
        return min(int((self.now_s - started_s) / work_s * 100), 99)

    def execute(self):
        """Carry out the actions of the allocator."""
        for action in self.machine.pop_actions():
            match action:
                case actions.StartRun():
                    self.start(action)
                case actions.StopRun():
                    self.end(
                        action.worker_id,
                        action.task,
                        action.number,
                        values.EndKind.STOPPED,
                    )
                case actions.NotifyOwner(message=messages.GivenUp()):
                    self.refuse(action.message)
                case actions.LogEvent():
                    self.logged[action.event] += 1

    def start(self, start):
        """Run a task."""
        job = self.arrivals[start.job]
        job.started = True
        self.running[start.worker_id][start.task] = (start.number, self.now_s)
        self.machine.runs.on_start_outcome(
            worker_id=start.worker_id,
            name=start.task,
            number=start.number,
            outcome=outcomes.Accepted(clock_ms=int(self.now_s * 1000)),
            now_s=self.now_s,
        )
        self.at(
            self.now_s + CALL_S + job.work_s[start.index],
            self.end,
            start.worker_id,
            start.task,
            start.number,
            values.EndKind.DONE,
        )

    def end(self, worker_id, name, number, kind):
        """End a run and report it."""
        if self.running[worker_id].get(name, (None,))[0] != number:
            return
        self.running[worker_id].pop(name)
        self.positions[worker_id] += 1
        if kind is values.EndKind.DONE:
            job = self.arrivals[name.split('.')[0]]
            job.left -= 1
            if not job.left:
                job.done_s = self.now_s
        end = outcomes.ListedEnd(
            position=self.positions[worker_id],
            task=name,
            number=number,
            kind=kind,
        )
        self.report(worker_id, (end,))

    def refuse(self, given_up):
        """Record a refusal."""
        job = self.arrivals[given_up.job]
        job.refused_s = self.now_s
        job.retry_after_ms = given_up.retry_after_ms
        job.lied = job.started and not given_up.may_have_started

    def of_urgency(self, urgency):
        """Return the jobs of one kind."""
        return [
            job for job in self.arrivals.values() if job.kind.urgency == urgency
        ]

    def in_time_share(self):
        """Return the mean over the kinds of the share served in time."""
        return mean(share_of(self.of_urgency(kind.urgency)) for kind in KINDS)

    def oracle_share(self):
        """Return a bound on that share for an oracle that knows all lengths.

        It serves the shortest jobs first, each kind by an equal share of what
        is left, on workers without gaps.
        """
        jobs = list(self.arrivals.values())
        seconds = max(job.at_s for job in jobs) - min(job.at_s for job in jobs)
        room = self.cores * ORACLE_CORE_SHARE * seconds
        total = sum(job.core_s for job in jobs)
        part = min(room / total, 1)
        return mean(
            self.shortest_share(self.of_urgency(kind.urgency), part)
            for kind in KINDS
        )

    def shortest_share(self, jobs, part):
        """Return how many of the jobs fit into a part of their work."""
        room = part * sum(job.core_s for job in jobs)
        sizes = sorted(job.core_s for job in jobs)
        done = sum(total <= room for total in itertools.accumulate(sizes))
        return done / len(jobs)


def mean(numbers):
    """Return the mean."""
    found = list(numbers)
    return sum(found) / len(found)


def share_of(jobs):
    """Return the share of jobs that were answered in time."""
    return mean(job.is_in_time() for job in jobs)


def served_share(jobs):
    """Return the share of jobs that were answered at all."""
    return mean(job.done_s is not None for job in jobs)
