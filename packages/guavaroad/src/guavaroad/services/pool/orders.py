"""Sends the allocator's orders to workers, and records their outcomes."""

import functools
from collections.abc import Callable

from guavaroad.domain.pool import actions, allocator, outcomes
from guavaroad.ports import pool, timers
from guavaroad.services.pool import agent_calls


class OrderSender:
    """Sends the orders of one allocator.

    Attributes:
        machine: Allocator that the outcomes are recorded with.
        workers: Calls to the workers.
        on_change: Called when an outcome may change a decision.
        on_fenced: Called when a worker has seen a higher token.
    """

    def __init__(
        self,
        *,
        machine: allocator.Allocator,
        workers: agent_calls.AgentCalls,
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
        """Order a worker to start a run."""
        self.workers.start(
            action, functools.partial(self.on_start_outcome, action)
        )

    def on_start_outcome(
        self, action: actions.StartRun, outcome: outcomes.OrderOutcome
    ) -> None:
        """Record the outcome of a start order."""
        self.machine.runs.on_start_outcome(
            worker_id=action.worker_id,
            name=action.task,
            number=action.number,
            outcome=outcome,
            now_s=self.timers.now(),
        )
        self.react_to(outcome)

    def stop(self, action: actions.StopRun) -> None:
        """Order a worker to stop a run."""
        self.workers.stop(
            action.worker_id,
            pool.StopOrder(
                task=action.task,
                number=action.number,
                token=self.machine.state.token,
            ),
            functools.partial(self.on_stop_outcome, action),
        )

    def on_stop_outcome(
        self, action: actions.StopRun, outcome: outcomes.OrderOutcome
    ) -> None:
        """Record the outcome of a stop order."""
        self.machine.runs.on_stop_outcome(
            worker_id=action.worker_id,
            name=action.task,
            number=action.number,
            outcome=outcome,
            now_s=self.timers.now(),
        )
        self.react_to(outcome)

    def react_to(self, outcome: outcomes.OrderOutcome) -> None:
        """Step down if fenced; request a new decision if not accepted."""
        match outcome:
            case outcomes.Refused(reason=outcomes.Refusal.FENCED):
                self.on_fenced()
            case outcomes.Refused() | outcomes.NoAnswer():
                self.on_change()
