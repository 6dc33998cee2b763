"""Replays arrivals against an allocator with simulated workers."""

import dataclasses
import heapq
import math
import random

from guavaroad.domain.pool import (
    actions,
    allocator,
    messages,
    outcomes,
    run_times,
    values,
)
from guavaroad_standins import pool_worker

OWNER = values.InstanceName('owner')
TICK_S = 0.01
# Time from the end of a run until the allocator reads it.
REPORT_S = 0.01
CLIENT_TIMEOUT_MS = 5000
# Run time of a run that fails.
FAILED_S = 0.02
BEGUN_S = 10.0
# Jobs that arrived later may still run.
SETTLED_S = 3
LONG_SHARE = 0.03
LONG_RATIO = 7
# Bounds of run times by their estimates.
EXACT = (1, 1)
ROUGH = (0.6, 1.4)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Jobs of one kind."""

    per_s: float
    tasks: int
    work_ms: int
    urgency: int
    cpu: int = 16_000


class NoRunTimes(run_times.RunTimes):
    """Learns nothing, as before run times were learned."""

    def record(self, *_):
        """Ignore a run."""


class KnownRunTimes(run_times.RunTimes):
    """Knows the speeds and lengths."""

    def __init__(self, replay):
        super().__init__()
        self.replay = replay

    def speed_log(self, worker_state, _):
        """Return the true speed."""
        worker_id = worker_state.worker_info.worker_id
        return math.log(self.replay.speeds[worker_id])

    def expected_on_s(self, task, worker_state, _):
        """Return the true run time."""
        worker_id = worker_state.worker_info.worker_id
        return self.replay.run_s(task.name, worker_id)

    def cautious_on_s(self, task, worker_state, now_s):
        """Return the true run time and the time of the reports."""
        run_s = self.expected_on_s(task, worker_state, now_s)
        return run_s + REPORT_S + TICK_S


def workers_of(label, speed, count, cpu=32_000):
    """Return the label, speed and size of workers."""
    return [(label, speed, cpu) for _ in range(count)]


class Replay:
    """An allocator, and workers that differ in speed or fail.

    Attributes:
        speeds: Speed of each worker.
        lengths: Run time of each task at speed 1, in seconds.
        faulty: Workers that fail runs.
        failed_part: Share of the runs that these fail.
        hopeless: Tasks that fail on any worker.
        hopeless_every: Every so manyth job is hopeless if it is urgent; 0 for
            none.
        started_on: Workers of the starts, in order.
        two_runs: Starts of tasks that still ran elsewhere.
        failed: Jobs that were given up as failed.
    """

    def __init__(self, *, workers, seed=1):
        self.random = random.Random(seed)
        self.now_s = BEGUN_S
        self.machine = allocator.Allocator(
            token=values.Token(2), now_s=self.now_s, seed=seed
        )
        self.infos = []
        self.speeds = {}
        self.started_ms = {}
        for number, (label, speed, cpu) in enumerate(workers):
            worker_info = dataclasses.replace(
                pool_worker.worker_info_of(number, zone='a', cpu=cpu),
                labels=(label, f'rack-{number % 4}'),
            )
            self.infos.append(worker_info)
            self.speeds[worker_info.worker_id] = speed
            self.started_ms[worker_info.worker_id] = worker_info.started_ms
        self.machine.update_workers(self.infos, self.now_s)
        for worker_id in self.speeds:
            self.report(worker_id, ())
        self.pool = self.machine.state.pool('pool')
        self.faulty = set()
        self.failed_part = 1
        self.failing = set()
        self.hopeless = set()
        self.hopeless_every = 0
        self.lengths = {}
        self.ends = []
        self.running = {}
        self.jobs = {}
        self.done = {}
        self.failed = set()
        self.started_on = []
        self.two_runs = 0
        self.ended = 0

    def use(self, times):
        """Replace the run times."""
        self.pool.run_times = times
        self.pool.capacity.run_times = times

    def run_s(self, name, worker_id):
        """Return the run time of a task on a worker."""
        return self.lengths[name] / self.speeds[worker_id]

    def report(self, worker_id, ended):
        """Receive the report of a worker."""
        worker_state = self.machine.state.workers[worker_id]
        tracked = worker_state.runs
        ended_names = {end.task for end in ended}
        self.machine.reports.record_report(
            worker_id=worker_id,
            report=outcomes.RunReport(
                clock_ms=int(self.now_s * 1000),
                started_ms=self.started_ms[worker_id],
                running=tuple(
                    outcomes.ListedRun(
                        task=name,
                        number=run.number,
                        percent=self.percent(name),
                    )
                    for name, run in tracked.items()
                    if name not in ended_names and name in self.running
                ),
                ended=ended,
            ),
            sent_s=self.now_s,
            now_s=self.now_s,
        )
        worker_state.lease.extend(self.now_s)

    def percent(self, name):
        """Return the progress of a run."""
        begun_s, end_s, _, _ = self.running[name]
        share = (self.now_s - begun_s) / (end_s - begun_s)
        return min(int(100 * share), 99)

    def declare(self, load, length_ratio):
        """Declare a job whose tasks are off their estimates."""
        job_id = values.JobId(f'{len(self.jobs):08x}')
        names = [
            values.TaskName(f'{job_id}.{index}') for index in range(load.tasks)
        ]
        is_usual = True
        for name in names:
            ratio = self.random.uniform(*length_ratio)
            if length_ratio != EXACT and self.random.random() < LONG_SHARE:
                ratio *= LONG_RATIO
                is_usual = False
            self.lengths[name] = load.work_ms / 1000 * ratio
        is_hopeless = (
            self.hopeless_every
            and not load.urgency
            and len(self.jobs) % self.hopeless_every == 0
        )
        if is_hopeless:
            self.hopeless.update(names)
        self.jobs[job_id] = (load, self.now_s, is_usual)
        self.machine.job_admission.declare(
            OWNER,
            messages.Declare(
                job=job_id,
                pool='pool',
                urgency=load.urgency,
                max_attempts=2,
                payload='',
                estimate_ms=load.work_ms,
                age_ms=0,
                objective_ms=int(0.6 * load.work_ms) + 60,
                client_timeout_ms=CLIENT_TIMEOUT_MS,
                tasks=tuple(
                    messages.DeclaredTask(
                        name=task, cpu=load.cpu, estimate_ms=load.work_ms
                    )
                    for task in names
                ),
            ),
            self.now_s,
        )

    def run(self, seconds, loads, length_ratio=EXACT):
        """Let jobs arrive and run."""
        due = dict.fromkeys(loads, 0)
        for _ in range(round(seconds / TICK_S)):
            for load in loads:
                due[load] += load.per_s * TICK_S
                while due[load] >= 1:
                    due[load] -= 1
                    self.declare(load, length_ratio)
            self.step()

    def step(self):
        """Advance the clock by a tick."""
        self.now_s += TICK_S
        ended = {}
        while self.ends and self.ends[0][0] + REPORT_S <= self.now_s:
            end_s, name, number, worker_id = heapq.heappop(self.ends)
            if self.running.get(name, ())[1:] != (end_s, number, worker_id):
                continue
            ended.setdefault(worker_id, []).append((name, number))
        for worker_id in self.speeds:
            self.report_ends(worker_id, ended.get(worker_id, ()))
        self.machine.tick(self.now_s)
        self.machine.place(self.now_s)
        for action in self.machine.pop_actions():
            self.follow(action)

    def report_ends(self, worker_id, ended):
        """Report the ends on a worker."""
        kinds = {
            task: values.EndKind.FAILED
            if (task, number) in self.failing
            else values.EndKind.DONE
            for task, number in ended
        }
        self.report(
            worker_id,
            tuple(
                self.end_of(name, number, kinds[name]) for name, number in ended
            ),
        )
        for ended_name, _ in ended:
            self.running.pop(ended_name)

    def follow(self, action):
        """Carry out an action."""
        match action:
            case actions.StartRun():
                self.start(action)
            case actions.StopRun(worker_id=worker_id, task=name, number=number):
                self.running.pop(name, None)
                self.report(
                    worker_id,
                    (self.end_of(name, number, values.EndKind.STOPPED),),
                )
            case actions.NotifyOwner(message=messages.GivenUp() as given_up):
                reason = given_up.reason
                if reason is values.GiveUpReason.ATTEMPTS_USED:
                    self.failed.add(given_up.job)
            case actions.NotifyOwner(message=messages.Ended() as ended):
                if ended.kind is values.EndKind.DONE:
                    self.done.setdefault(ended.job, []).append(self.now_s)

    def end_of(self, name, number, kind):
        """Return the report of an end."""
        self.ended += 1
        return outcomes.ListedEnd(
            position=self.ended, task=name, number=number, kind=kind
        )

    def start(self, action):
        """Start a run."""
        self.started_on.append(action.worker_id)
        self.two_runs += action.task in self.running
        run_s = self.run_s(action.task, action.worker_id)
        is_faulty = action.worker_id in self.faulty
        if is_faulty and self.random.random() < self.failed_part:
            self.failing.add((action.task, action.number))
        if action.task in self.hopeless:
            self.failing.add((action.task, action.number))
        if (action.task, action.number) in self.failing:
            run_s = FAILED_S
        end_s = self.now_s + run_s
        known = (end_s, action.number, action.worker_id)
        self.running[action.task] = (self.now_s, *known)
        heapq.heappush(
            self.ends, (end_s, action.task, action.number, action.worker_id)
        )
        self.machine.runs.on_start_outcome(
            worker_id=action.worker_id,
            name=action.task,
            number=action.number,
            outcome=outcomes.Accepted(clock_ms=int(self.now_s * 1000)),
            now_s=self.now_s,
        )

    def late_share(self, load, after_s=0):
        """Return the share of usual jobs that missed their objective.

        Jobs with a task that takes many times as long are late anywhere.

        Args:
            load: Kind of the jobs.
            after_s: Time after which they arrived, in seconds.
        """
        jobs = [
            (job_id, arrived_s)
            for job_id, (kind, arrived_s, is_usual) in self.jobs.items()
            if kind == load
            and is_usual
            and after_s <= arrived_s - BEGUN_S
            and arrived_s < self.now_s - SETTLED_S
        ]
        objective_s = (1.6 * load.work_ms + 60) / 1000
        late = 0
        for job_id, arrived_s in jobs:
            ends = self.done.get(job_id, ())
            in_time = (
                len(ends) == load.tasks and max(ends) <= arrived_s + objective_s
            )
            late += not in_time
        return late / len(jobs)
