"""Asks instances to follow the allocator, and names its successors."""

from guavaroad.domain.pool import (
    agent_messages,
    election,
    peer_messages,
    values,
)
from guavaroad.services.pool import (
    agent_assignments,
    decision_log,
    directory,
    instance_links,
    state_broadcaster,
)


class FollowRequests:
    """First messages to each linked instance.

    Attributes:
        term: Term of this allocator, with its successors.
        links: Links to the instances.
        assignments: Agents of the workers.
        broadcaster: Sends the state that an instance lacks.
    """

    def __init__(
        self,
        *,
        term: election.Term,
        instance_directory: directory.Directory,
        assignments: agent_assignments.AgentAssignments,
        broadcaster: state_broadcaster.StateBroadcaster,
        log: decision_log.DecisionLog,
    ) -> None:
        self.term = term
        self.links = assignments.links
        self.directory = instance_directory
        self.assignments = assignments
        self.broadcaster = broadcaster
        self.decision_log = log

    def send(
        self,
        name: values.InstanceName,
        link: instance_links.LinkPort,
        *,
        has_declared_jobs: bool,
    ) -> None:
        """Ask a newly linked instance to follow this allocator.

        Args:
            name: The instance.
            link: Its link.
            has_declared_jobs: Whether the jobs that it declared on its previous
                link are still tracked.
        """
        self.decision_log.log_event(
            'instance_linked', instance=name, token=self.term.token
        )
        self.broadcaster.add_follower(name)
        self.add_successor(name)
        link.send(
            peer_messages.Follow(
                token=self.term.token,
                allocator=self.term.allocator,
                successors=self.term.successors,
                reserved_token_base=self.term.reserved_token_base,
                instances=(),
                has_declared_jobs=has_declared_jobs,
                agent_version=agent_messages.AGENT_VERSION,
                owners_launch=not self.assignments.is_direct,
            )
        )

    def add_successor(self, name: values.InstanceName) -> None:
        """Reserve a token for an instance if there is one left."""
        extended = election.add_successor(
            self.term, name, self.directory.zones()
        )
        if extended != self.term:
            self.term = extended
            self.broadcaster.change_successors(extended)

    def announce_mode(self) -> None:
        """Tell the instances who sends the start orders of new jobs."""
        for name in self.assignments.announced:
            self.send_mode(name)

    def send_mode(self, name: values.InstanceName) -> None:
        """Tell an instance who sends the start orders of new jobs."""
        link = self.links.links.get(name)
        if link is not None:
            link.send(
                agent_messages.LaunchMode(
                    owners_launch=not self.assignments.is_direct
                )
            )
