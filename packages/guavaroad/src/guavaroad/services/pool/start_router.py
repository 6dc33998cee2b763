"""Sends the allocator's starts by the owners of their jobs, or by itself."""

from guavaroad.domain.pool import actions, agent_messages, values
from guavaroad.services.pool import (
    agent_assignments,
    pending_calls,
    run_starter,
)


class StartRouter:
    """Routes the starts of one allocator.

    Attributes:
        token: Fencing token of the allocator.
        assignments: Agents of the workers.
        pending: Calls without an outcome.
        run_starter: Sends starts of jobs whose owner has left the payload to
            the allocator.
        launches: Starts to announce to owners in this iteration, by attempt.
    """

    def __init__(
        self,
        *,
        token: values.Token,
        assignments: agent_assignments.AgentAssignments,
        pending: pending_calls.PendingCalls,
        starter: run_starter.RunStarter,
    ) -> None:
        self.token = token
        self.assignments = assignments
        self.pending = pending
        self.run_starter = starter
        self.launches: dict[
            tuple[values.InstanceName, values.JobId, values.AttemptNumber],
            list[agent_messages.Launch],
        ] = {}

    def route(
        self, pending: pending_calls.PendingCall, action: actions.StartRun
    ) -> None:
        """Send a start, or add it to those that its owner has to send."""
        agent = self.assignments.agent_of(pending.assigned)
        pending.agent = agent
        if action.owner_has_payload:
            self.add_launch(pending, action, agent)
            return
        start = agent_messages.Start(
            call=pending.call,
            worker_id=action.worker_id,
            task=action.task,
            run=action.number,
            until_ms=action.until_ms,
            started_ms=action.started_ms,
        )
        if agent == self.assignments.local_name:
            self.assignments.local_session.start(start, action.payload)
            return
        self.run_starter.send(
            agent=agent,
            token=self.token,
            payload=action.payload,
            starts=(start,),
            on_rejected=self.refuse,
        )

    def add_launch(
        self,
        pending: pending_calls.PendingCall,
        action: actions.StartRun,
        agent: values.InstanceName,
    ) -> None:
        """Add a start to those that the owner of a job is told of."""
        attempt = (action.owner, action.job, action.attempt)
        self.launches.setdefault(attempt, []).append(
            agent_messages.Launch(
                call=pending.call,
                index=action.index,
                run=action.number,
                worker_id=action.worker_id,
                agent=agent,
                until_ms=action.until_ms,
                started_ms=action.started_ms,
            )
        )

    def flush(self) -> None:
        """Send the collected starts to the owners of their jobs."""
        launches = self.launches
        self.launches = {}
        for (owner, job, attempt), starts in launches.items():
            link = self.assignments.links.links.get(owner)
            if link is None:
                self.refuse(tuple(start.call for start in starts))
                continue
            link.send(
                agent_messages.LaunchRuns(
                    job=job, launches=tuple(starts), attempt=attempt
                )
            )

    def refuse(self, calls: tuple[agent_messages.CallNumber, ...]) -> None:
        """Record starts that were certainly not sent to a worker."""
        for call in calls:
            self.pending.refuse(call)

    def on_not_launched(
        self, owner: values.InstanceName, message: agent_messages.NotLaunched
    ) -> None:
        """Let the owner call the workers itself, if it reaches no agent.

        In another term the numbers may be those of other calls.
        """
        if message.token not in {values.ANY_TERM, self.token}:
            return
        may_retry = message.is_job_open and owner in self.assignments.agents
        for call in message.calls:
            pending = self.pending.calls.get(call)
            if may_retry and pending is not None and not pending.is_retry:
                self.retry(pending, owner)
            else:
                self.pending.refuse(call)
        self.flush()

    def retry(
        self, pending: pending_calls.PendingCall, owner: values.InstanceName
    ) -> None:
        """Add a start that the owner of its job sends to the worker itself."""
        pending.is_retry = True
        pending.agent = owner
        self.assignments.assign(pending.assigned, owner)
        if pending.start is not None:
            self.add_launch(pending, pending.start, owner)
