"""Simulated pool workers with leases, fencing, run reports and faults.

They follow the worker protocol of the platform: a worker keeps the highest
fencing token that it has seen, kills its runs when the lease expires, reports
ended runs until they are acknowledged, and starts every run that it is ordered
to start.
"""

import collections
import dataclasses
import functools
from collections.abc import Callable
from typing import Any, Final

from guavaroad.domain import names, units
from guavaroad.domain.pool import outcomes, values, worker
from guavaroad.ports import pool

MAX_LEASE_MS: Final = 1000
STOP_DURATION_S: Final = 0.03
DEFAULT_WORK_S: Final = 0.1
FAILED_WORK_S: Final = 0.001
HUNG_WORK_S: Final = 3600
MEMORY_MB: Final = 128_000
PERCENT_PER_UNIT: Final = 100
MAX_PERCENT: Final = 99
# Time for which starts may still follow an earlier capacity, in seconds.
CAPACITY_GRACE_S: Final = 3


def _ignore(*_: Any) -> None:
    """Ignore a call."""


@dataclasses.dataclass(slots=True, kw_only=True)
class SimRun:
    """A run on a simulated worker.

    Attributes:
        number: Run number.
        started_s: Start time, in seconds.
        work_s: Run time, in seconds.
        timer: Timer for the end of the run.
    """

    number: values.RunNumber
    started_s: float
    work_s: float
    timer: Any


@dataclasses.dataclass(slots=True, kw_only=True)
class RunHistory:
    """Runs of all workers, and violations of the guarantees.

    Attributes:
        starts: Task, run number and worker of every start.
        running: Number of current runs of each task.
        violations: Descriptions of the violated guarantees.
        cpu: CPU need of each task, by name.
        work_s: Run time of each task in seconds, by name.
        done: Tasks that have completed.
        failures: Number of failed runs of each task.
        crashes: Tasks that ran on a worker when it crashed, each with the
            number of starts before.
        draining: Time at which a worker began to drain, by id.
        late_starts: Starts too long after the begin of a drain: worker, task,
            begin of the drain, start.
        on_start: Called with the task of every start.
    """

    starts: list[tuple[str, int, str]] = dataclasses.field(default_factory=list)
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)
    cpu: dict[str, int] = dataclasses.field(default_factory=dict)
    work_s: dict[str, float] = dataclasses.field(default_factory=dict)
    done: set[str] = dataclasses.field(default_factory=set)
    failures: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    crashes: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    draining: dict[str, float] = dataclasses.field(default_factory=dict)
    late_starts: list[tuple[str, str, float, float]] = dataclasses.field(
        default_factory=list
    )
    on_start: Callable[[values.TaskName], object] = _ignore

    def record_start(
        self,
        task: values.TaskName,
        number: values.RunNumber,
        worker_id: values.WorkerId,
    ) -> None:
        """Record a start, and a violation if the task is already running."""
        self.starts.append((task, number, worker_id))
        self.on_start(task)
        run_count = self.running.get(task, 0)
        if run_count:
            self.violations.append(f'two runs of {task}')
        self.running[task] = run_count + 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of a worker.

    Attributes:
        slowdown: Factor on the run time.
        fails: Whether every run fails immediately.
        hangs: Whether runs hang.
        delay_orders_s: If not 0, orders are carried out after this delay and
            are not answered.
        unanswered_share: Fraction of the calls that are not answered; orders
            among them are carried out seconds later.
        refuses: Whether it refuses connections, so that no call arrives.
        answers_at_once: Whether it does not wait before it answers polls.
        clock_rate: Seconds on its clock per second.
    """

    slowdown: float = 1
    fails: bool = False
    hangs: bool = False
    delay_orders_s: float = 0
    unanswered_share: float = 0
    refuses: bool = False
    answers_at_once: bool = False
    clock_rate: float = 1

    def work_s(self, normal_s: float) -> float:
        """Return the run time of a run, in seconds."""
        if self.fails:
            return FAILED_WORK_S
        return HUNG_WORK_S if self.hangs else normal_s * self.slowdown


@dataclasses.dataclass(slots=True, kw_only=True)
class SimLease:
    """The lease of a simulated worker.

    Attributes:
        until_ms: End on the worker's clock, in milliseconds; 0 if there was no
            lease.
        timer: Timer for the end.
    """

    until_ms: int = 0
    timer: Any = None

    def end(self) -> None:
        """End the lease early, without an effect on the runs."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class SimWorker:
    """A simulated worker.

    Attributes:
        worker_info: Its entry in the worker list.
        running: Its runs by task.
        ended: Ended runs that were not yet acknowledged.
        token: Highest fencing token that it has seen.
        lease: Its lease.
        is_up: Whether it is running.
        faults: Its faults.
        clock_start_s: Time at which its clock showed 0, in seconds.
        earlier_cpu: Earlier capacities in thousandths of a core, each with the
            time until which starts may follow it.
    """

    def __init__(
        self, *, clock: Any, worker_info: worker.WorkerInfo, history: RunHistory
    ):
        self.clock = clock
        self.worker_info = worker_info
        self.history = history
        self.running: dict[values.TaskName, SimRun] = {}
        self.ended: list[outcomes.ListedEnd] = []
        self.stopped: dict[values.TaskName, values.RunNumber] = {}
        self.token = values.Token(0)
        self.position = 0
        self.lease = SimLease()
        self.pending_polls: list[Callable[[], None]] = []
        self.is_up = True
        self.faults = Faults()
        self.clock_start_s: float = 0
        self.earlier_cpu: list[tuple[float, int]] = []

    def clock_ms(self) -> int:
        """Return the time of its clock, in milliseconds."""
        elapsed_s = self.clock.seconds() - self.clock_start_s
        return units.to_ms(elapsed_s * self.faults.clock_rate)

    def start(self, order: pool.StartOrder) -> outcomes.OrderOutcome:
        """Start a run, or refuse it."""
        if order.token < self.token:
            return self.refused(outcomes.Refusal.FENCED)
        self.token = order.token
        present = self.running.get(order.task)
        if present is not None and present.number == order.number:
            return outcomes.Accepted(clock_ms=self.clock_ms())
        if order.number <= self.stopped.get(order.task, 0):
            self.extend_lease(order.until_ms)
            return self.refused(outcomes.Refusal.STALE_RUN)
        if order.until_ms <= self.clock_ms():
            return self.refused(outcomes.Refusal.LEASE_OVER)
        self.extend_lease(order.until_ms)
        self.begin(order)
        return outcomes.Accepted(clock_ms=self.clock_ms())

    def refused(self, reason: outcomes.Refusal) -> outcomes.Refused:
        """Return a refusal."""
        return outcomes.Refused(reason=reason, clock_ms=self.clock_ms())

    def begin(self, order: pool.StartOrder) -> None:
        """Begin a run and record violations."""
        worker_id = self.worker_info.worker_id
        self.history.record_start(order.task, order.number, worker_id)
        normal_s = self.history.work_s.get(order.task, DEFAULT_WORK_S)
        work_s = self.faults.work_s(normal_s)
        kind = values.EndKind.DONE
        if self.faults.fails:
            kind = values.EndKind.FAILED
        on_end = functools.partial(self.end, order.task, order.number, kind)
        timer = self.clock.callLater(work_s, on_end)
        self.running[order.task] = SimRun(
            number=order.number,
            started_s=self.clock.seconds(),
            work_s=work_s,
            timer=timer,
        )
        cpu_needs = (self.history.cpu.get(task, 0) for task in self.running)
        if sum(cpu_needs) > allowed_cpu(self):
            self.history.violations.append(f'{worker_id} over its capacity')

    def end(
        self,
        task: values.TaskName,
        number: values.RunNumber,
        kind: values.EndKind,
    ) -> None:
        """End a run and answer the pending status polls."""
        run = self.running.get(task)
        if run is None or run.number != number:
            return
        self.running.pop(task)
        if run.timer.active():
            run.timer.cancel()
        self.history.running[task] -= 1
        if kind is values.EndKind.DONE:
            self.history.done.add(task)
        elif kind is values.EndKind.FAILED:
            self.history.failures[task] += 1
        self.position += 1
        self.stopped[task] = max(number, self.stopped.get(task, number))
        self.ended.append(
            outcomes.ListedEnd(
                position=self.position, task=task, number=number, kind=kind
            )
        )
        waiting = self.pending_polls
        self.pending_polls = []
        for answer in waiting:
            answer()

    def stop(self, order: pool.StopOrder) -> outcomes.OrderOutcome:
        """Stop a run, or prevent it from starting later."""
        if order.token < self.token:
            return self.refused(outcomes.Refusal.FENCED)
        self.token = order.token
        stopped = self.stopped.get(order.task, order.number)
        self.stopped[order.task] = max(order.number, stopped)
        self.clock.callLater(
            STOP_DURATION_S,
            self.end,
            order.task,
            order.number,
            values.EndKind.STOPPED,
        )
        return outcomes.Accepted(clock_ms=self.clock_ms())

    def extend_lease(self, until_ms: int) -> None:
        """Extend the lease, limited to `MAX_LEASE_MS` from now."""
        max_until_ms = self.clock_ms() + MAX_LEASE_MS
        until_ms = min(until_ms, max_until_ms)
        if until_ms <= self.lease.until_ms:
            return
        self.lease.end()
        remaining_s = until_ms / units.MS_PER_S / self.faults.clock_rate
        remaining_s += self.clock_start_s - self.clock.seconds()
        timer = self.clock.callLater(max(remaining_s, 0), self.expire_lease)
        self.lease = SimLease(until_ms=until_ms, timer=timer)

    def expire_lease(self) -> None:
        """Kill all runs when the lease expires."""
        for task, run in tuple(self.running.items()):
            self.end(task, run.number, values.EndKind.LAPSED)

    def poll_status(
        self, poll: pool.StatusPoll, answer: Callable[[Any], object]
    ) -> None:
        """Answer a status poll, at once or when a run ends."""
        if poll.token < self.token:
            answer(self.refused(outcomes.Refusal.FENCED))
            return
        self.token = poll.token
        if poll.until_ms is not None:
            self.extend_lease(poll.until_ms)
        self.ended = [
            end for end in self.ended if end.position > poll.last_end_position
        ]
        is_waiting = poll.wait_ms and not self.faults.answers_at_once
        if self.ended or not is_waiting:
            answer(self.report())
            return
        self.wait(poll.wait_ms / units.MS_PER_S, answer)

    def wait(self, wait_s: float, answer: Callable[[Any], object]) -> None:
        """Answer when a run ends or the wait times out."""
        pending = Once(lambda _: answer(self.report()))
        self.pending_polls.append(functools.partial(pending, None))
        self.clock.callLater(wait_s, pending, None)

    def report(self) -> outcomes.RunReport:
        """Return its run report."""
        return outcomes.RunReport(
            clock_ms=self.clock_ms(),
            started_ms=self.worker_info.started_ms,
            running=tuple(
                outcomes.ListedRun(
                    task=task, number=run.number, percent=self.percent(run)
                )
                for task, run in self.running.items()
            ),
            ended=tuple(self.ended),
        )

    def percent(self, run: SimRun) -> int:
        """Return the progress of a run, in percent."""
        elapsed_s = self.clock.seconds() - run.started_s
        return min(int(PERCENT_PER_UNIT * elapsed_s / run.work_s), MAX_PERCENT)

    def crash(self) -> None:
        """Stop the worker and lose its runs and reports."""
        for task, run in self.running.items():
            self.history.running[task] -= 1
            self.history.crashes.append((task, len(self.history.starts)))
            if run.timer.active():
                run.timer.cancel()
        self.running = {}
        self.ended = []
        self.is_up = False


def restart(sim_worker: SimWorker) -> None:
    """Start a worker again under its id, without any memory.

    Its clock starts anew, and its lease ends.
    """
    sim_worker.crash()
    sim_worker.worker_info = dataclasses.replace(
        sim_worker.worker_info,
        started_ms=sim_worker.worker_info.started_ms + units.MS_PER_S,
    )
    sim_worker.is_up = True
    sim_worker.position = 0
    sim_worker.token = values.Token(0)
    sim_worker.stopped = {}
    sim_worker.lease.end()
    sim_worker.lease = SimLease()
    sim_worker.clock_start_s = sim_worker.clock.seconds()


def resize(sim_worker: SimWorker, cpu: int) -> None:
    """Change the capacity of a worker.

    Args:
        sim_worker: The worker.
        cpu: Its new capacity, in thousandths of a core.
    """
    grace_end_s = sim_worker.clock.seconds() + CAPACITY_GRACE_S
    capacity = sim_worker.worker_info.capacity
    sim_worker.earlier_cpu.append((grace_end_s, capacity.cpu))
    sim_worker.worker_info = dataclasses.replace(
        sim_worker.worker_info, capacity=dataclasses.replace(capacity, cpu=cpu)
    )


def allowed_cpu(sim_worker: SimWorker) -> int:
    """Return the largest capacity that starts may follow now."""
    now_s = sim_worker.clock.seconds()
    earlier = [cpu for end_s, cpu in sim_worker.earlier_cpu if end_s > now_s]
    return max(sim_worker.worker_info.capacity.cpu, *earlier, 0)


class Once:
    """Calls a callback at most once."""

    def __init__(self, callback: Callable[[Any], object]) -> None:
        self.callback: Callable[[Any], object] | None = callback

    def __call__(self, outcome: Any) -> None:
        """Pass on the first outcome."""
        callback = self.callback
        self.callback = None
        if callback is not None:
            callback(outcome)


def worker_info_of(
    number: int,
    *,
    zone: str,
    cpu: int = 32_000,
    pool_name: str = 'pool',
) -> worker.WorkerInfo:
    """Return the list entry of a simulated worker."""
    return worker.WorkerInfo(
        worker_id=values.WorkerId(f'w{number}'),
        address=f'10.0.0.{number}:80',
        zone=names.AvailabilityZone(zone),
        pool=names.PoolName(pool_name),
        labels=('a' if number else 'b', f'rack-{number}'),
        capacity=values.Amount(cpu=cpu, memory_mb=MEMORY_MB),
        draining=False,
        started_ms=number + 1,
    )
