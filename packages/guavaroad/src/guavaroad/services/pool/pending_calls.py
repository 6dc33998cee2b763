"""Calls to workers whose outcome the allocator awaits."""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any

from guavaroad.domain.pool import actions, agent_messages, outcomes, values
from guavaroad.ports import pool
from guavaroad.services.pool import agent_assignments

OnOutcome = Callable[[Any], object]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PendingCall:
    """A call without an outcome.

    Attributes:
        call: Number of the call.
        on_outcome: Called once with the outcome.
        assigned: The worker.
        agent: Instance that has the call; none before a poll is sent.
        deadline_s: Time at which the call counts as unanswered, in seconds.
        poll: The poll, if it is one.
        start: The start, if it is one.
        is_retry: Whether the owner makes the call itself, as it did not reach
            the agent.
    """

    call: agent_messages.CallNumber
    on_outcome: OnOutcome
    assigned: agent_assignments.AssignedWorker
    agent: values.InstanceName | None
    deadline_s: float
    poll: pool.StatusPoll | None = None
    start: actions.StartRun | None = None
    is_retry: bool = False


class PendingCalls:
    """The calls without an outcome, by number.

    Attributes:
        calls: The calls.
        last_call: Number of the last call.
    """

    def __init__(self) -> None:
        self.calls: dict[agent_messages.CallNumber, PendingCall] = {}
        self.last_call = 0

    def __iter__(self) -> Iterator[PendingCall]:
        """Iterate over the calls of this moment; they may end meanwhile."""
        for pending in tuple(self.calls.values()):
            if pending.call in self.calls:
                yield pending

    def add(
        self,
        assigned: agent_assignments.AssignedWorker,
        on_outcome: OnOutcome,
        deadline_s: float,
        *,
        poll: pool.StatusPoll | None = None,
        start: actions.StartRun | None = None,
    ) -> PendingCall:
        """Return a new call.

        Args:
            assigned: The worker.
            on_outcome: Called once with the outcome.
            deadline_s: Time at which it counts as unanswered, in seconds.
            poll: The poll, if it is one.
            start: The start, if it is one.
        """
        self.last_call += 1
        pending = PendingCall(
            call=self.last_call,
            on_outcome=on_outcome,
            assigned=assigned,
            agent=None,
            deadline_s=deadline_s,
            poll=poll,
            start=start,
        )
        self.calls[pending.call] = pending
        return pending

    def pop(self, call: agent_messages.CallNumber) -> PendingCall | None:
        """Remove a call, and return it if it has no outcome yet."""
        return self.calls.pop(call, None)

    def refuse(self, call: agent_messages.CallNumber) -> None:
        """Record that a start was certainly not sent to a worker."""
        pending = self.pop(call)
        if pending is not None:
            pending.on_outcome(
                outcomes.Refused(reason=outcomes.Refusal.NOT_SENT)
            )

    def fail(self, pending: PendingCall, detail: str) -> None:
        """Record that the agent has not answered a call."""
        self.pop(pending.call)
        pending.on_outcome(outcomes.NoAnswer(detail=detail, is_agent_lost=True))

    def fail_orders_of(self, agent: values.InstanceName) -> None:
        """Fail the starts and stops of an agent whose link is lost."""
        for pending in self:
            if pending.agent == agent and pending.poll is None:
                self.fail(pending, 'link to the agent was lost')

    def fail_calls_to(self, assigned: agent_assignments.AssignedWorker) -> None:
        """Fail the calls to a worker that was removed."""
        for pending in self:
            if pending.assigned is assigned:
                self.fail(pending, 'worker was removed')

    def fail_overdue(self, now_s: float) -> None:
        """Fail the calls whose deadline has passed."""
        for pending in self:
            if pending.deadline_s < now_s:
                self.fail(pending, 'no answer from the agent')
