"""Calls to workers that an agent makes for one allocator."""

import collections
import functools
from typing import Any, Final, Protocol

from guavaroad.domain.pool import agent_messages, outcomes, values
from guavaroad.ports import pool, timers
from guavaroad.services.pool import worker_connections

# Time for which a run is denoted by the number of its start call, in seconds.
# The allocator keeps these numbers for longer.
CALL_RETENTION_S: Final = 8
# Time for which the acceptance of an order may wait for another message to the
# allocator, in seconds. Each message wakes it up, and it acts only on refusals.
ACCEPTED_DELAY_S: Final = 0.02

RunKey = tuple[values.TaskName, values.RunNumber]


class Receiver(Protocol):
    """The allocator, or the link to it."""

    def send(self, message: Any) -> None:
        """Send a message to the allocator."""


class AgentSession:
    """Makes the calls that one allocator decides.

    It decides nothing: every order has the allocator's token and, for a start
    or a lease, the incarnation of the worker and an absolute time limit on its
    clock.  So an order that is carried out late, for example after a pause of
    this process, is refused by the worker, does not reach it or has no effect.

    Attributes:
        token: Fencing token of the allocator.
        allocator: Receives the outcomes.
        connections: Connections to the workers.
        assigned: Assigned workers, by their number.
        addresses: Addresses of the assigned workers. Sessions of two
            allocators share the connections, but may have different entries.
        start_calls: Call number and time of recent starts, by run.
        accepted: Acceptances that have not been sent.
    """

    def __init__(
        self,
        *,
        token: values.Token,
        allocator: Receiver,
        connections: worker_connections.WorkerConnections,
        timer_service: timers.TimerService,
    ) -> None:
        self.token = token
        self.allocator = allocator
        self.connections = connections
        self.timers = timer_service
        self.assigned: dict[int, values.WorkerId] = {}
        self.addresses: dict[values.WorkerId, str] = {}
        self.start_calls: collections.OrderedDict[
            RunKey, tuple[agent_messages.CallNumber, float]
        ] = collections.OrderedDict()
        self.accepted: list[agent_messages.CallAnswered] = []

    def receive(self, message: agent_messages.ToAgent) -> None:
        """Make a call, or change the assigned workers."""
        match message:
            case agent_messages.AssignWorker():
                self.assigned[message.number] = message.worker_id
                self.addresses[message.worker_id] = message.address
                self.connections.open(message.worker_id, message.address)
            case agent_messages.ReleaseWorker():
                self.release(message.number)
            case agent_messages.PollWorker():
                self.poll(message)
            case agent_messages.StopTask():
                self.stop(message)

    def release(self, number: int) -> None:
        """Forget an assigned worker."""
        worker_id = self.assigned.pop(number, None)
        if worker_id is not None and worker_id not in self.assigned.values():
            self.addresses.pop(worker_id, None)

    def connect(self, worker_id: values.WorkerId) -> bool:
        """Prepare for a call to a worker; return whether it is connected.

        Connections of earlier assignments serve until the present one arrives.
        """
        address = self.addresses.get(worker_id)
        if address is None:
            return self.connections.use(worker_id)
        self.connections.open(worker_id, address)
        return True

    def poll(self, message: agent_messages.PollWorker) -> None:
        """Poll the status of a worker."""
        worker_id = self.assigned.get(message.number)
        if worker_id is None or not self.connect(worker_id):
            self.reject(message.call)
            return
        self.connections.workers.poll_status(
            worker_id,
            pool.StatusPoll(
                token=self.token,
                last_end_position=message.last_end_position,
                until_ms=message.until_ms,
                wait_ms=message.wait_ms,
                started_ms=message.started_ms,
            ),
            functools.partial(self.on_outcome, message.call),
        )

    def stop(self, message: agent_messages.StopTask) -> None:
        """Order a worker to stop a run."""
        worker_id = self.assigned.get(message.number)
        if worker_id is None or not self.connect(worker_id):
            self.reject(message.call)
            return
        self.connections.workers.stop(
            worker_id,
            pool.StopOrder(
                task=message.task, number=message.run, token=self.token
            ),
            functools.partial(self.on_outcome, message.call),
        )

    def start(self, start: agent_messages.Start, payload: str) -> bool:
        """Order a worker to start a run; return whether it is connected."""
        if not self.connect(start.worker_id):
            return False
        self.record_call(start)
        self.connections.workers.start(
            start.worker_id,
            pool.StartOrder(
                task=start.task,
                number=start.run,
                payload=payload,
                until_ms=start.until_ms,
                token=self.token,
                started_ms=start.started_ms,
            ),
            functools.partial(self.on_outcome, start.call),
        )
        return True

    def record_call(self, start: agent_messages.Start) -> None:
        """Record the call number of a start, and drop old ones."""
        now_s = self.timers.now()
        calls = self.start_calls
        calls[start.task, start.run] = (start.call, now_s)
        while next(iter(calls.values()))[1] < now_s - CALL_RETENTION_S:
            calls.popitem(last=False)

    def reject(self, call: agent_messages.CallNumber) -> None:
        """Report that a call was not made."""
        self.allocator.send(
            agent_messages.CallUnanswered(
                call=call, detail='worker is not assigned to the agent'
            )
        )

    def on_outcome(
        self,
        call: agent_messages.CallNumber,
        outcome: outcomes.OrderOutcome | outcomes.RunReport,
    ) -> None:
        """Send the outcome of a call to the allocator."""
        match outcome:
            case outcomes.Accepted():
                self.delay_accepted(call, outcome.clock_ms)
                return
            case outcomes.RunReport():
                message: agent_messages.FromAgent = self.encode_report(
                    call, outcome
                )
            case outcomes.Refused():
                message = agent_messages.CallAnswered(
                    call=call,
                    refusal=outcome.reason.value,
                    clock_ms=outcome.clock_ms,
                )
            case outcomes.NoAnswer():
                message = agent_messages.CallUnanswered(
                    call=call, detail=outcome.detail
                )
        self.send_accepted()
        self.allocator.send(message)

    def delay_accepted(
        self, call: agent_messages.CallNumber, clock_ms: int
    ) -> None:
        """Send the acceptance of an order a little later."""
        if not self.accepted:
            self.timers.call_after(ACCEPTED_DELAY_S, self.send_accepted)
        self.accepted.append(
            agent_messages.CallAnswered(
                call=call, refusal='', clock_ms=clock_ms
            )
        )

    def send_accepted(self) -> None:
        """Send the acceptances that wait."""
        accepted = self.accepted
        self.accepted = []
        for message in accepted:
            self.allocator.send(message)

    def encode_report(
        self, call: agent_messages.CallNumber, report: outcomes.RunReport
    ) -> agent_messages.WorkerReport:
        """Return the message for a run report."""
        running, other_running = [], []
        for run in report.running:
            known = self.start_calls.get((run.task, run.number))
            if known:
                running.append((known[0], run.percent))
            else:
                other_running.append((run.task, run.number, run.percent))
        ended, other_ended = [], []
        for end in report.ended:
            known = self.start_calls.get((end.task, end.number))
            if known:
                ended.append((end.position, known[0], end.kind))
            else:
                other_ended.append(
                    (end.position, end.task, end.number, end.kind)
                )
        return agent_messages.WorkerReport(
            call=call,
            clock_ms=report.clock_ms,
            started_ms=report.started_ms,
            running=tuple(running),
            ended=tuple(ended),
            other_running=tuple(other_running),
            other_ended=tuple(other_ended),
        )
