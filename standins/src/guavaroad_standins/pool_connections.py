"""Simulated connections of one instance to the pool workers, with faults."""

import collections
import functools
import random
from collections.abc import Callable
from typing import Any, Final

from guavaroad.domain import units
from guavaroad.domain.pool import outcomes, values
from guavaroad.ports import pool
from guavaroad_standins import pool_worker

CALL_LATENCY_S: Final = 0.001
ORDER_TIMEOUT_S: Final = 0.2
POLL_TIMEOUT_MARGIN_S: Final = 0.35
LATE_CALL_RANGE_S: Final = (2, 12)


def _call(action: Callable[[], object]) -> None:
    action()


def is_incarnation(sim_worker: pool_worker.SimWorker, started_ms: int) -> bool:
    """Return whether a call is meant for the present incarnation.

    Args:
        sim_worker: The worker.
        started_ms: Start of the incarnation that it is meant for; 0 for any.
    """
    present_ms = sim_worker.worker_info.started_ms
    return started_ms in {values.ANY_INCARNATION, present_ms}


def execute_late(
    sim_worker: pool_worker.SimWorker,
    started_ms: int,
    execute: Callable[[], object],
) -> None:
    """Execute a delayed order, unless the worker's process has ended.

    Args:
        sim_worker: The worker.
        started_ms: Start of the process that received the order, in Unix
            milliseconds.
        execute: Executes the order.
    """
    is_same = sim_worker.worker_info.started_ms == started_ms
    if sim_worker.is_up and is_same:
        execute()


class SimWorkers:
    """Connections of one instance to the workers; implements the port.

    Attributes:
        reaches: Returns whether a worker is reachable now.
        poll_count: Number of status polls sent.
        starts: Number of start orders sent, by worker.
        task_starts: Number of start orders sent, by task.
        calls: Number of calls of any kind, by worker.
        addresses: Address to which the calls to each worker go.
        misdirected: Number of start orders that would have reached another
            incarnation than they were meant for.
        run_answer: Runs the callback of an answer, or holds it while the
            instance is frozen.
    """

    def __init__(
        self,
        *,
        clock: Any,
        workers: dict[values.WorkerId, pool_worker.SimWorker],
        reaches: Callable[[pool_worker.SimWorker], bool],
    ) -> None:
        self.clock = clock
        self.workers = workers
        self.reaches = reaches
        self.poll_count = 0
        self.starts: collections.Counter[str] = collections.Counter()
        self.task_starts: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self.misdirected = 0
        self.random = random.Random(len(workers))
        self.addresses: dict[values.WorkerId, str] = {}
        self.run_answer: Callable[[Callable[[], object]], None] = _call

    def open(self, worker_id: values.WorkerId, address: str) -> None:
        """Prepare to call a worker."""
        self.addresses[worker_id] = address

    def close(self, worker_id: values.WorkerId) -> None:
        """Close the connections to a worker."""

    def start(self, worker_id: Any, order: Any, on_outcome: Any) -> None:
        """Send a start order."""
        self.starts[worker_id] += 1
        self.task_starts[order.task] += 1
        self.send_order(worker_id, 'start', order, on_outcome, order.started_ms)

    def stop(self, worker_id: Any, order: Any, on_outcome: Any) -> None:
        """Send a stop order."""
        self.send_order(worker_id, 'stop', order, on_outcome)

    def send_order(
        self,
        worker_id: Any,
        verb: str,
        order: Any,
        on_outcome: Any,
        started_ms: int = values.ANY_INCARNATION,
    ) -> None:
        """Send an order and pass on its outcome, or a timeout.

        Args:
            worker_id: Worker that receives it.
            verb: Method of the simulated worker.
            order: The order.
            on_outcome: Called once with the outcome.
            started_ms: Start of the incarnation that it is meant for; 0 for
                any.
        """
        self.calls[worker_id] += 1
        answer = self.answer_of(on_outcome)
        timeout = outcomes.NoAnswer(detail='no answer in time')
        self.clock.callLater(ORDER_TIMEOUT_S, answer, timeout)
        sim_worker = self.workers[worker_id]
        execute = functools.partial(getattr(sim_worker, verb), order)
        self.clock.callLater(
            CALL_LATENCY_S,
            self.deliver_order,
            sim_worker,
            started_ms,
            execute,
            answer,
        )

    def is_elsewhere(self, sim_worker: pool_worker.SimWorker) -> bool:
        """Return whether the worker is not at the address of its calls.

        Another worker there refuses them, as they name the worker.
        """
        present = sim_worker.worker_info
        address = self.addresses.get(present.worker_id, present.address)
        return address != present.address

    def answer_of(self, on_outcome: Any) -> pool_worker.Once:
        """Return the callback for the first outcome of a call."""
        return pool_worker.Once(
            lambda outcome: self.run_answer(
                functools.partial(on_outcome, outcome)
            )
        )

    def deliver_order(
        self,
        sim_worker: pool_worker.SimWorker,
        started_ms: int,
        execute: Callable[[], Any],
        answer: pool_worker.Once,
    ) -> None:
        """Execute an order on a worker and return its answer."""
        if sim_worker.faults.refuses or self.is_elsewhere(sim_worker):
            answer(outcomes.Refused(reason=outcomes.Refusal.UNREACHED))
            return
        if not self.reaches(sim_worker):
            return
        if not is_incarnation(sim_worker, started_ms):
            self.misdirected += 1
            answer(outcomes.Refused(reason=outcomes.Refusal.OTHER_INCARNATION))
            return
        delay_s = self.delay_s(sim_worker)
        if delay_s:
            present_ms = sim_worker.worker_info.started_ms
            self.clock.callLater(
                delay_s, execute_late, sim_worker, present_ms, execute
            )
            return
        outcome = execute()
        if self.reaches(sim_worker):
            self.clock.callLater(CALL_LATENCY_S, answer, outcome)

    def delay_s(self, sim_worker: pool_worker.SimWorker) -> float:
        """Return the delay of an unanswered order, or 0 to answer it."""
        if self.random.random() < sim_worker.faults.unanswered_share:
            return self.random.uniform(*LATE_CALL_RANGE_S)
        return sim_worker.faults.delay_orders_s

    def poll_status(self, worker_id: Any, poll: Any, on_outcome: Any) -> None:
        """Send a status poll to a worker."""
        self.poll_count += 1
        self.calls[worker_id] += 1
        answer = self.answer_of(on_outcome)
        timeout = outcomes.NoAnswer(detail='no answer in time')
        wait_s = poll.wait_ms / units.MS_PER_S
        self.clock.callLater(wait_s + POLL_TIMEOUT_MARGIN_S, answer, timeout)
        sim_worker = self.workers[worker_id]
        self.clock.callLater(
            CALL_LATENCY_S, self.deliver_poll, sim_worker, poll, answer
        )

    def deliver_poll(
        self,
        sim_worker: pool_worker.SimWorker,
        poll: pool.StatusPoll,
        answer: pool_worker.Once,
    ) -> None:
        """Deliver a status poll to a worker."""
        if sim_worker.faults.refuses or self.is_elsewhere(sim_worker):
            answer(outcomes.NoAnswer(detail='connection refused'))
            return
        if self.random.random() < sim_worker.faults.unanswered_share:
            return
        if self.reaches(sim_worker):
            on_report = functools.partial(
                self.return_answer, sim_worker, answer
            )
            if not is_incarnation(sim_worker, poll.started_ms):
                poll = pool.StatusPoll(
                    token=poll.token,
                    last_end_position=0,
                    until_ms=None,
                    wait_ms=0,
                )
            sim_worker.poll_status(poll, on_report)

    def return_answer(
        self,
        sim_worker: pool_worker.SimWorker,
        answer: pool_worker.Once,
        outcome: Any,
    ) -> None:
        """Return an answer unless the worker has become unreachable."""
        if self.reaches(sim_worker):
            self.clock.callLater(CALL_LATENCY_S, answer, outcome)
