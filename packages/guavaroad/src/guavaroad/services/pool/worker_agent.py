"""Makes calls to workers for the allocator that this instance follows."""

from guavaroad.domain.pool import agent_messages, values
from guavaroad.ports import timers
from guavaroad.services.pool import agent_session, worker_connections


class WorkerAgent:
    """The agent of this instance.

    Attributes:
        connections: Connections to workers.
        session: Calls for the followed allocator; none while there is none.
    """

    def __init__(
        self,
        *,
        connections: worker_connections.WorkerConnections,
        timer_service: timers.TimerService,
    ) -> None:
        self.connections = connections
        self.timers = timer_service
        self.session: agent_session.AgentSession | None = None

    def open_session(
        self, token: values.Token, allocator: agent_session.Receiver
    ) -> agent_session.AgentSession:
        """Return a new session of calls for an allocator.

        Args:
            token: Its fencing token.
            allocator: Receives the outcomes.
        """
        return agent_session.AgentSession(
            token=token,
            allocator=allocator,
            connections=self.connections,
            timer_service=self.timers,
        )

    def follow(
        self, token: values.Token, allocator: agent_session.Receiver
    ) -> None:
        """Make calls for an allocator that has just linked."""
        self.session = self.open_session(token, allocator)

    def unfollow(self) -> None:
        """Make no further calls, as the allocator is lost."""
        self.session = None

    def receive(self, message: agent_messages.ToAgent) -> None:
        """Process a message of the followed allocator."""
        if self.session is not None:
            self.session.receive(message)

    def start_runs(
        self, message: agent_messages.StartRuns
    ) -> tuple[agent_messages.CallNumber, ...]:
        """Order the starts that an owner sends.

        Returns:
            The calls that are not made: this instance follows another
            allocator, or has no connection to the worker.
        """
        session = self.session
        return tuple(
            start.call
            for start in message.starts
            if session is None
            or session.token != message.token
            or not session.start(start, message.payload)
        )
