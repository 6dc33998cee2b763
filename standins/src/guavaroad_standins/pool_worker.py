"""Workers of the pool in memory: leases, fencing, ends and faults.

They behave as the platform's page says: a worker keeps the highest token that
it has seen, kills what runs when the lease is over, lists ends until they are
taken note of, and starts whatever it is told to.
"""

import collections
import dataclasses
import functools
import random
from collections.abc import Callable
from typing import Any, Final

from guavaroad.domain import names, units
from guavaroad.domain.pool import outcomes, values, worker
from guavaroad.ports import pool

LATENCY_S: Final = 0.001
ORDER_TIMEOUT_S: Final = 0.2
LOOK_EXTRA_S: Final = 0.35
LONGEST_LEASE_MS: Final = 1000
STOP_S: Final = 0.03
WORK_S: Final = 0.1
FAIL_S: Final = 0.001
STILL_S: Final = 3600
LATE_S: Final = (2, 12)
MEMORY_MB: Final = 128_000
PERCENT: Final = 100
MOST_PERCENT: Final = 99


@dataclasses.dataclass(slots=True, kw_only=True)
class SimRun:
    """A run on a simulated worker.

    Attributes:
        number: Number of the start.
        started_s: When it began.
        work_s: How long it takes.
        timer: Its pending end.
    """

    number: values.RunNumber
    started_s: float
    work_s: float
    timer: Any


@dataclasses.dataclass(slots=True, kw_only=True)
class Ledger:
    """What the workers saw, and the promises that were broken.

    Attributes:
        starts: Task, number and worker of every start.
        running: Runs of each task that are going on.
        broken: What went wrong.
        cpu: Room that each task needs, by name.
        work_s: How long each task takes, by name.
        done: Tasks that have ended well.
        draining: Since when workers are leaving, by id.
        late_starts: Starts too long after that: worker, task, since, when.
    """

    starts: list[tuple[str, int, str]] = dataclasses.field(default_factory=list)
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)
    cpu: dict[str, int] = dataclasses.field(default_factory=dict)
    work_s: dict[str, float] = dataclasses.field(default_factory=dict)
    done: set[str] = dataclasses.field(default_factory=set)
    draining: dict[str, float] = dataclasses.field(default_factory=dict)
    late_starts: list[tuple[str, str, float, float]] = dataclasses.field(
        default_factory=list
    )

    def started(
        self,
        task: values.TaskName,
        number: values.RunNumber,
        worker_id: values.WorkerId,
    ) -> None:
        """Note a start, and whether the task runs already."""
        self.starts.append((task, number, worker_id))
        going_on = self.running.get(task, 0)
        if going_on:
            self.broken.append(f'two runs of {task}')
        self.running[task] = going_on + 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """What goes wrong on a worker.

    Attributes:
        pace: Work takes this many times as long.
        fails: Whether every run fails at once.
        hangs: Whether runs stand still.
        delay_orders_s: Orders get no answer and are carried out so late.
        lost_share: Share of the calls that get no answer and are carried out
            seconds later.
        clock_rate: Seconds on its clock for each second.
    """

    pace: float = 1
    fails: bool = False
    hangs: bool = False
    delay_orders_s: float = 0
    lost_share: float = 0
    clock_rate: float = 1

    def work_s(self, usual_s: float) -> float:
        """Return how long a run takes."""
        if self.fails:
            return FAIL_S
        return STILL_S if self.hangs else usual_s * self.pace


class SimWorker:
    """One worker.

    Attributes:
        facts: What the list tells of it.
        running: Its runs by task.
        ended: Ends that were not taken note of.
        token: Highest token that it has seen.
        is_up: Whether it is there.
        faults: What goes wrong on it.
    """

    def __init__(self, *, clock: Any, facts: worker.Facts, book: Ledger):
        self.clock = clock
        self.facts = facts
        self.book = book
        self.running: dict[values.TaskName, SimRun] = {}
        self.ended: list[outcomes.ListedEnd] = []
        self.stopped: dict[values.TaskName, values.RunNumber] = {}
        self.token = values.Token(0)
        self.position = 0
        self.lease_timer: Any = None
        self.until_ms = 0
        self.waiting: list[Callable[[], None]] = []
        self.is_up = True
        self.faults = Faults()

    def clock_ms(self) -> int:
        """Return its clock."""
        return units.to_ms(self.clock.seconds() * self.faults.clock_rate)

    def start(self, order: pool.StartOrder) -> outcomes.OrderOutcome:
        """Start a task, unless there is a reason not to."""
        if order.token < self.token:
            return self.refused(outcomes.Refusal.FENCED)
        self.token = order.token
        present = self.running.get(order.task)
        if present is not None and present.number == order.number:
            return outcomes.Accepted(clock_ms=self.clock_ms())
        if order.number <= self.stopped.get(order.task, 0):
            self.extend(order.until_ms)
            return self.refused(outcomes.Refusal.STALE_RUN)
        if order.until_ms <= self.clock_ms():
            return self.refused(outcomes.Refusal.LEASE_OVER)
        self.extend(order.until_ms)
        self.begin(order)
        return outcomes.Accepted(clock_ms=self.clock_ms())

    def refused(self, reason: outcomes.Refusal) -> outcomes.Refused:
        """Return a refusal."""
        return outcomes.Refused(reason=reason, clock_ms=self.clock_ms())

    def begin(self, order: pool.StartOrder) -> None:
        """Begin a run, and note broken promises."""
        worker_id = self.facts.worker_id
        self.book.started(order.task, order.number, worker_id)
        usual_s = self.book.work_s.get(order.task, WORK_S)
        work_s = self.faults.work_s(usual_s)
        kind = values.EndKind.DONE
        if self.faults.fails:
            kind = values.EndKind.FAILED
        ending = functools.partial(self.end, order.task, order.number, kind)
        timer = self.clock.callLater(work_s, ending)
        self.running[order.task] = SimRun(
            number=order.number,
            started_s=self.clock.seconds(),
            work_s=work_s,
            timer=timer,
        )
        needs = (self.book.cpu.get(task, 0) for task in self.running)
        if sum(needs) > self.facts.capacity.cpu:
            self.book.broken.append(f'{worker_id} over its capacity')

    def end(
        self,
        task: values.TaskName,
        number: values.RunNumber,
        kind: values.EndKind,
    ) -> None:
        """End a run, and answer the looks that wait for it."""
        run = self.running.get(task)
        if run is None or run.number != number:
            return
        self.running.pop(task)
        if run.timer.active():
            run.timer.cancel()
        self.book.running[task] -= 1
        if kind is values.EndKind.DONE:
            self.book.done.add(task)
        self.position += 1
        self.stopped[task] = max(number, self.stopped.get(task, number))
        self.ended.append(
            outcomes.ListedEnd(
                position=self.position, task=task, number=number, kind=kind
            )
        )
        waiting = self.waiting
        self.waiting = []
        for answer in waiting:
            answer()

    def stop(self, order: pool.StopOrder) -> outcomes.OrderOutcome:
        """Stop a run, or rule it out."""
        if order.token < self.token:
            return self.refused(outcomes.Refusal.FENCED)
        self.token = order.token
        known = self.stopped.get(order.task, order.number)
        self.stopped[order.task] = max(order.number, known)
        self.clock.callLater(
            STOP_S, self.end, order.task, order.number, values.EndKind.STOPPED
        )
        return outcomes.Accepted(clock_ms=self.clock_ms())

    def extend(self, until_ms: int) -> None:
        """Extend the lease of everything that runs."""
        longest_ms = self.clock_ms() + LONGEST_LEASE_MS
        until_ms = min(until_ms, longest_ms)
        if until_ms <= self.until_ms:
            return
        self.until_ms = until_ms
        if self.lease_timer is not None and self.lease_timer.active():
            self.lease_timer.cancel()
        left_s = until_ms / units.MS_PER_S / self.faults.clock_rate
        left_s -= self.clock.seconds()
        self.lease_timer = self.clock.callLater(max(left_s, 0), self.lapse)

    def lapse(self) -> None:
        """Kill everything that runs."""
        for task, run in tuple(self.running.items()):
            self.end(task, run.number, values.EndKind.LAPSED)

    def poll_status(
        self, poll: pool.StatusPoll, answer: Callable[[Any], object]
    ) -> None:
        """Answer a look, at once or when something ends."""
        if poll.token < self.token:
            answer(self.refused(outcomes.Refusal.FENCED))
            return
        self.token = poll.token
        if poll.until_ms is not None:
            self.extend(poll.until_ms)
        self.ended = [end for end in self.ended if end.position > poll.last_end]
        if self.ended or not poll.wait_ms:
            answer(self.report())
            return
        self.wait(poll.wait_ms / units.MS_PER_S, answer)

    def wait(self, wait_s: float, answer: Callable[[Any], object]) -> None:
        """Answer when something ends, or the time is up."""
        pending = _Once(lambda _: answer(self.report()))
        self.waiting.append(functools.partial(pending, None))
        self.clock.callLater(wait_s, pending, None)

    def report(self) -> outcomes.RunReport:
        """Return its lists."""
        return outcomes.RunReport(
            clock_ms=self.clock_ms(),
            started_ms=self.facts.started_ms,
            running=tuple(
                outcomes.ListedRun(
                    task=task, number=run.number, percent=self.percent(run)
                )
                for task, run in self.running.items()
            ),
            ended=tuple(self.ended),
        )

    def percent(self, run: SimRun) -> int:
        """Return the progress of a run."""
        elapsed_s = self.clock.seconds() - run.started_s
        return min(int(PERCENT * elapsed_s / run.work_s), MOST_PERCENT)

    def crash(self) -> None:
        """Lose everything, and be gone."""
        for task, run in self.running.items():
            self.book.running[task] -= 1
            if run.timer.active():
                run.timer.cancel()
        self.running = {}
        self.ended = []
        self.is_up = False


class SimWorkers:
    """The workers as one instance reaches them; implements the port.

    Attributes:
        reaches: Tells whether a worker is reached just now.
        looks: Looks sent.
        starts: Starts sent, by worker.
    """

    def __init__(
        self,
        *,
        clock: Any,
        workers: dict[values.WorkerId, SimWorker],
        reaches: Callable[[SimWorker], bool],
    ) -> None:
        self.clock = clock
        self.workers = workers
        self.reaches = reaches
        self.looks = 0
        self.starts: collections.Counter[str] = collections.Counter()
        self.random = random.Random(len(workers))
        self.is_frozen = False

    def open(self, facts: worker.Facts) -> None:
        """Be ready to call a worker."""

    def close(self, worker_id: values.WorkerId) -> None:
        """Close the connections to a worker."""

    def start(self, worker_id: Any, order: Any, on_outcome: Any) -> None:
        """Order a start."""
        self.starts[worker_id] += 1
        self.order(worker_id, 'start', order, on_outcome)

    def stop(self, worker_id: Any, order: Any, on_outcome: Any) -> None:
        """Order a stop."""
        self.order(worker_id, 'stop', order, on_outcome)

    def order(
        self, worker_id: Any, verb: str, order: Any, on_outcome: Any
    ) -> None:
        """Deliver an order, and its answer."""
        answer = _Once(on_outcome)
        timeout = outcomes.NoAnswer(detail='no answer in time')
        self.clock.callLater(ORDER_TIMEOUT_S, answer, timeout)
        one = self.workers[worker_id]
        carry_out = functools.partial(getattr(one, verb), order)
        self.clock.callLater(LATENCY_S, self.deliver, one, carry_out, answer)

    def deliver(
        self, one: SimWorker, carry_out: Callable[[], Any], answer: '_Once'
    ) -> None:
        """Let a worker carry out an order, and bring its answer back."""
        if not self.reaches(one):
            return
        delay_s = self.delay_s(one)
        if delay_s:
            self.clock.callLater(delay_s, carry_out)
            return
        outcome = carry_out()
        if self.reaches(one):
            self.clock.callLater(LATENCY_S, answer, outcome)

    def delay_s(self, one: SimWorker) -> float:
        """Return how late a call is carried out without an answer."""
        if self.random.random() < one.faults.lost_share:
            return self.random.uniform(*LATE_S)
        return one.faults.delay_orders_s

    def poll_status(self, worker_id: Any, poll: Any, on_outcome: Any) -> None:
        """Look at a worker."""
        self.looks += 1
        answer = _Once(on_outcome)
        timeout = outcomes.NoAnswer(detail='no answer in time')
        wait_s = poll.wait_ms / units.MS_PER_S
        self.clock.callLater(wait_s + LOOK_EXTRA_S, answer, timeout)
        one = self.workers[worker_id]
        self.clock.callLater(LATENCY_S, self.deliver_look, one, poll, answer)

    def deliver_look(
        self, one: SimWorker, poll: pool.StatusPoll, answer: '_Once'
    ) -> None:
        """Let a worker answer a look when it will."""
        if self.random.random() < one.faults.lost_share:
            return
        if self.reaches(one):
            bring = functools.partial(self.bring_back, one, answer)
            one.poll_status(poll, bring)

    def bring_back(self, one: SimWorker, answer: '_Once', outcome: Any) -> None:
        """Bring an answer back, unless the worker is cut off by now."""
        if self.reaches(one):
            self.clock.callLater(LATENCY_S, answer, outcome)


class _Once:
    """Calls back once."""

    def __init__(self, callback: Callable[[Any], object]) -> None:
        self.callback: Callable[[Any], object] | None = callback

    def __call__(self, outcome: Any) -> None:
        callback = self.callback
        self.callback = None
        if callback is not None:
            callback(outcome)


def facts_of(
    number: int,
    *,
    zone: str,
    cpu: int = 32_000,
    pool_name: str = 'pool',
) -> worker.Facts:
    """Return the facts of a simulated worker."""
    return worker.Facts(
        worker_id=values.WorkerId(f'w{number}'),
        address=f'10.0.0.{number}:80',
        zone=names.AvailabilityZone(zone),
        pool=names.PoolName(pool_name),
        labels=('a' if number else 'b', f'rack-{number}'),
        capacity=values.Amount(cpu=cpu, memory_mb=MEMORY_MB),
        draining=False,
        started_ms=number + 1,
    )
