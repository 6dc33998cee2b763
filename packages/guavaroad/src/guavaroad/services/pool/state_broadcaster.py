"""Sends the allocator's decisions and state to the instances that follow it."""

from guavaroad.domain.pool import (
    actions,
    election,
    peer_messages,
    resend_backoff,
    values,
)
from guavaroad.ports import pool
from guavaroad.services.pool import configuration_watch, instance_links


class StateBroadcaster:
    """Notifies job owners, and replicates state to other instances.

    Attributes:
        links: Links to the instances.
        term: Term of this allocator, with its successors.
        configuration: Configuration in force.
        rows: Worker rows as read from the store.
        instances: Directory that was last sent.
        resend_backoff: Decides when an instance is sent the configuration.
    """

    def __init__(
        self,
        *,
        links: instance_links.InstanceLinks,
        term: election.Term,
        configuration: configuration_watch.ConfigurationWatch,
    ) -> None:
        self.links = links
        self.term = term
        self.configuration = configuration
        self.rows: pool.WorkerRows | None = None
        self.instances: tuple[peer_messages.Instance, ...] = ()
        self.resend_backoff = resend_backoff.ResendBackoff()

    def send_configuration(
        self, name: values.InstanceName, version: int, now_s: float
    ) -> None:
        """Send the configuration to an instance with an older version.

        Args:
            name: The instance.
            version: Version that it has.
            now_s: Current time, in seconds.
        """
        newest = self.configuration.version()
        if self.resend_backoff.is_due(
            name, served_version=version, newest_version=newest, now_s=now_s
        ):
            self.links.links[name].send(self.configuration.to_message())

    def send_successors(self, term: election.Term) -> None:
        """Notify every instance which instances have a reserved token."""
        self.term = term
        for link in self.links.links.values():
            link.send(peer_messages.Reserved(successors=term.successors))

    def share_directory(
        self, instances: tuple[peer_messages.Instance, ...]
    ) -> None:
        """Dial new instances, and send the directory if it has changed.

        Args:
            instances: The directory as it was just read.
        """
        if self.links.closed or instances == self.instances:
            return
        self.links.dial_all()
        self.instances = instances
        for link in self.links.links.values():
            link.send(peer_messages.SharedDirectory(instances=instances))

    def share_worker_rows(self, rows: pool.WorkerRows) -> None:
        """Send the worker rows to every instance with a reserved token."""
        self.rows = rows
        for name in self.term.successors:
            self.send_worker_rows(name)

    def send_worker_rows(self, name: values.InstanceName) -> None:
        """Send the worker rows to one instance."""
        link = self.links.links.get(name)
        if link is not None and self.rows is not None:
            link.send(peer_messages.SharedWorkers(rows=self.rows.rows))

    def notify_owners(self, decided: list[actions.Action]) -> None:
        """Send the notifications of job owners, before any order is sent."""
        notified: dict[values.InstanceName, instance_links.LinkPort] = {}
        for action in decided:
            if isinstance(action, actions.NotifyOwner):
                link = self.links.links.get(action.owner)
                if link is not None:
                    link.send(action.message)
                    notified[action.owner] = link
        for link in notified.values():
            link.flush()
