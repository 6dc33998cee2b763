"""Executes the allocator's actions."""

import traceback
from collections.abc import Callable

from guavaroad.domain.pool import actions, allocator
from guavaroad.services.pool import (
    agent_calls,
    decision_log,
    orders,
    state_broadcaster,
    status_poller,
)


class ActionExecutor:
    """Sends notifications of owners, orders and polls.

    Attributes:
        calls: Calls to workers.
        broadcaster: Notifies the owners.
        status_poller: Polls the status of the workers.
        order_sender: Sends orders to workers.
    """

    def __init__(
        self,
        *,
        machine: allocator.Allocator,
        calls: agent_calls.AgentCalls,
        broadcaster: state_broadcaster.StateBroadcaster,
        log: decision_log.DecisionLog,
        on_change: Callable[[], object],
        on_fenced: Callable[[], object],
    ) -> None:
        self.calls = calls
        self.broadcaster = broadcaster
        self.decision_log = log
        self.status_poller = status_poller.StatusPoller(
            machine=machine,
            workers=calls,
            timer_service=calls.timers,
            on_change=on_change,
            on_fenced=on_fenced,
        )
        self.order_sender = orders.OrderSender(
            machine=machine,
            workers=calls,
            timer_service=calls.timers,
            on_change=on_change,
            on_fenced=on_fenced,
        )

    def execute_all(self, decided: list[actions.Action]) -> None:
        """Execute actions; notifications of owners come first."""
        self.broadcaster.notify_owners(decided)
        for action in decided:
            try:
                self.execute(action)
            except Exception as error:  # noqa: BLE001 - go on with the others
                self.decision_log.log_event(
                    'action_failed',
                    action=type(action).__name__,
                    detail=repr(error),
                    traceback=traceback.format_exc(),
                )
        self.calls.starts.flush()

    def execute(self, action: actions.Action) -> None:
        """Execute an action other than a notification of an owner."""
        match action:
            case actions.StartRun():
                self.order_sender.start(action)
            case actions.StopRun():
                self.order_sender.stop(action)
            case actions.PollNow():
                self.status_poller.poll_now(action.worker_id)
            case actions.WorkerAdded():
                self.status_poller.add_worker(action.worker_id)
            case actions.WorkerMoved():
                self.status_poller.move_worker(action.worker_id)
            case actions.WorkerRemoved():
                self.status_poller.remove_worker(action.worker_id)
            case actions.LogEvent():
                self.decision_log.log_action(action)
