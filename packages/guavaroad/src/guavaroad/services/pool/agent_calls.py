"""The allocator's calls to workers, made by their agents.

The allocator's link carries only short messages: polls, stops, reports and the
numbers of starts.  The owners send the starts themselves, with the payload.
"""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    agent_messages,
    outcomes,
    values,
    worker,
)
from guavaroad.ports import pool
from guavaroad.services.pool import (
    agent_assignments,
    call_outcomes,
    dependencies,
    directory,
    instance_links,
    pending_calls,
    run_starter,
    start_router,
    worker_agent,
)

# Timeouts of calls as seen by the allocator, in seconds: those of the agent's
# HTTP calls (0.2 s for orders, the wait and 0.35 s for polls) and the way.
START_TIMEOUT_S: Final = 0.45
STOP_TIMEOUT_S: Final = 0.3
POLL_MARGIN_S: Final = 0.45


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class LocalReceiver:
    """Passes the outcomes of this instance's own calls to the allocator.

    Attributes:
        receive: Called with each outcome.
    """

    receive: Callable[[agent_messages.FromAgent], object] | None = None

    def send(self, message: Any) -> None:
        """Pass on an outcome."""
        if self.receive is not None:
            self.receive(message)


class AgentCalls:
    """Calls of one allocator to workers.

    Attributes:
        timers: Clock.
        assignments: Agents of the workers.
        pending: Calls without an outcome.
        outcomes: Decodes outcomes.
        starts: Routes the starts.
        unrouted: Polls that wait for the agents to be known, or to be moved.
    """

    def __init__(
        self,
        *,
        token: values.Token,
        links: instance_links.InstanceLinks,
        instance_directory: directory.Directory,
        deps: dependencies.Dependencies,
        agent: worker_agent.WorkerAgent,
        starter: run_starter.RunStarter,
        on_mode: Callable[[], object],
    ) -> None:
        self.timers = deps.timers
        self.assignments = agent_assignments.AgentAssignments(
            links=links,
            instance_directory=instance_directory,
            local_session=agent.open_session(
                token, LocalReceiver(receive=self.receive)
            ),
            timer_service=deps.timers,
            log=deps.decision_log,
            link_bytes_per_s=deps.link_bytes_per_s,
            on_mode=on_mode,
        )
        self.pending = pending_calls.PendingCalls()
        self.outcomes = call_outcomes.CallOutcomes()
        self.starts = start_router.StartRouter(
            token=token,
            assignments=self.assignments,
            pending=self.pending,
            starter=starter,
        )
        self.unrouted: list[pending_calls.PendingCall] = []

    def open(self, worker_info: worker.WorkerInfo) -> None:
        """Prepare for calls to a worker at the address of its entry.

        If it has moved, calls in progress may still reach its former address.
        Those that start a run or extend a lease reach the incarnation that they
        are meant for or none.
        """
        self.assignments.add(worker_info)

    def close(self, worker_id: values.WorkerId) -> None:
        """Make no further calls to a worker; pending ones are unanswered."""
        self.pending.fail_calls_to(self.assignments.remove(worker_id))

    def on_announced(
        self, name: values.InstanceName, agent_version: int
    ) -> None:
        """Record that an instance is an agent."""
        self.assignments.announced[name] = agent_version
        self.update_agents()

    def on_lost(self, name: values.InstanceName) -> None:
        """Fail the orders of an instance whose link is lost; move its polls."""
        self.assignments.remove_agent(name)
        self.update_agents()
        self.pending.fail_orders_of(name)

    def update_agents(self) -> None:
        """Update the set of agents, and move the polls of those that left."""
        left = self.assignments.update_agents()
        if left:
            self.unrouted.extend(
                pending
                for pending in self.pending
                if pending.agent in left and pending.poll is not None
            )
        if self.unrouted and self.assignments.is_settled():
            waiting = self.unrouted
            self.unrouted = []
            for pending in waiting:
                if pending.call in self.pending.calls:
                    self.route_poll(pending)

    def poll_status(
        self,
        worker_id: values.WorkerId,
        poll: pool.StatusPoll,
        on_outcome: pool.StatusPollCallback,
    ) -> None:
        """Request the run report of a worker."""
        timeout_s = poll.wait_ms / units.MS_PER_S + POLL_MARGIN_S
        pending = self.pending.add(
            self.assignments.workers[worker_id],
            on_outcome,
            self.timers.now() + timeout_s,
            poll=poll,
        )
        if self.assignments.is_settled():
            self.route_poll(pending)
        else:
            self.unrouted.append(pending)

    def route_poll(self, pending: pending_calls.PendingCall) -> None:
        """Send a poll to the agent of its worker."""
        poll = pending.poll
        if poll is None:
            return
        agent = self.assignments.agent_of(pending.assigned)
        pending.agent = agent
        self.assignments.send(
            agent,
            agent_messages.PollWorker(
                call=pending.call,
                number=pending.assigned.number,
                last_end_position=poll.last_end_position,
                until_ms=poll.until_ms,
                wait_ms=poll.wait_ms,
                started_ms=poll.started_ms,
            ),
        )

    def stop(
        self,
        worker_id: values.WorkerId,
        order: pool.StopOrder,
        on_outcome: pool.OrderCallback,
    ) -> None:
        """Order a worker to stop a run."""
        assigned = self.assignments.workers.get(worker_id)
        if assigned is None:
            on_outcome(outcomes.NoAnswer(detail='worker was removed'))
            return
        pending = self.pending.add(
            assigned, on_outcome, self.timers.now() + STOP_TIMEOUT_S
        )
        agent = self.assignments.agent_of(assigned)
        pending.agent = agent
        self.assignments.send(
            agent,
            agent_messages.StopTask(
                call=pending.call,
                number=assigned.number,
                task=order.task,
                run=order.number,
            ),
        )

    def start(
        self, action: actions.StartRun, on_outcome: pool.OrderCallback
    ) -> None:
        """Order a worker to start a run, by the owner of its job."""
        assigned = self.assignments.workers.get(action.worker_id)
        if assigned is None:
            on_outcome(outcomes.Refused(reason=outcomes.Refusal.NOT_SENT))
            return
        now_s = self.timers.now()
        pending = self.pending.add(
            assigned, on_outcome, now_s + START_TIMEOUT_S, start=action
        )
        self.outcomes.record_start(pending.call, action, now_s)
        self.starts.route(pending, action)

    def receive(self, message: agent_messages.FromAgent) -> None:
        """Process the outcome of a call."""
        pending = self.pending.pop(message.call)
        if pending is None:
            return
        if is_from_worker(message):
            pending.assigned.record_answer()
        elif pending.poll is not None:
            pending.assigned.record_unanswered_poll()
        pending.on_outcome(self.outcomes.decode(message))

    def check(self) -> None:
        """Time out calls, and stop using agents that do not respond."""
        self.update_agents()
        self.pending.fail_overdue(self.timers.now())


def is_from_worker(message: agent_messages.FromAgent) -> bool:
    """Return whether an outcome shows that the agent reaches the worker."""
    match message:
        case (
            agent_messages.CallUnanswered()
            | agent_messages.CallAnswered(
                refusal=outcomes.Refusal.UNREACHED.value
            )
        ):
            return False
    return True
