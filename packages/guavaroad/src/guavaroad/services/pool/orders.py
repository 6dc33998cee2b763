"""Sends the allocator's orders to workers, and takes their outcomes."""

import functools
from collections.abc import Callable

from guavaroad.domain.pool import actions, allocator, outcomes
from guavaroad.ports import pool, timers


class Orders:
    """Orders of one allocator.

    Attributes:
        machine: Decides.
        workers: Take the orders.
        on_change: Called when there is something to decide.
        on_fenced: Called when a worker has seen a higher token.
    """

    def __init__(
        self,
        *,
        machine: allocator.Allocator,
        workers: pool.WorkersPort,
        timer_service: timers.TimerService,
        on_change: Callable[[], object],
        on_fenced: Callable[[], object],
    ) -> None:
        self.machine = machine
        self.workers = workers
        self.timers = timer_service
        self.on_change = on_change
        self.on_fenced = on_fenced

    def start(self, action: actions.StartRun) -> None:
        """Send a start."""
        self.workers.start(
            action.worker_id,
            pool.StartOrder(
                task=action.task,
                number=action.number,
                payload=action.payload,
                until_ms=action.until_ms,
                token=self.machine.state.token,
            ),
            functools.partial(self.start_answered, action),
        )

    def start_answered(
        self, action: actions.StartRun, outcome: outcomes.OrderOutcome
    ) -> None:
        """Take the outcome of a start."""
        self.machine.runs.on_start_outcome(
            worker_id=action.worker_id,
            name=action.task,
            number=action.number,
            outcome=outcome,
            now_s=self.timers.now(),
        )
        self.answered(outcome)

    def stop(self, action: actions.StopRun) -> None:
        """Send a stop."""
        self.workers.stop(
            action.worker_id,
            pool.StopOrder(
                task=action.task,
                number=action.number,
                token=self.machine.state.token,
            ),
            functools.partial(self.stop_answered, action),
        )

    def stop_answered(
        self, action: actions.StopRun, outcome: outcomes.OrderOutcome
    ) -> None:
        """Take the outcome of a stop."""
        self.machine.runs.on_stop_outcome(
            worker_id=action.worker_id,
            name=action.task,
            number=action.number,
            outcome=outcome,
            now_s=self.timers.now(),
        )
        self.answered(outcome)

    def answered(self, outcome: outcomes.OrderOutcome) -> None:
        """Step down if a worker says so; decide anew if it refused."""
        match outcome:
            case outcomes.Refused(reason=outcomes.Refusal.FENCED):
                self.on_fenced()
            case outcomes.Refused() | outcomes.NoAnswer():
                self.on_change()
