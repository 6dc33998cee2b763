"""What the allocator tells the instances that follow it."""

from guavaroad.domain.pool import (
    actions,
    election,
    peer_messages,
    resend_backoff,
    values,
)
from guavaroad.ports import pool
from guavaroad.services.pool import configuration_watch, instance_links


class Shares:
    """Sends decisions to owners, and what others may lack.

    Attributes:
        links: Links to the instances.
        reign: Who may take over.
        configuration: Configuration in force.
        rows: List of workers as the store has it.
        instances: Instances that the others were told of.
        catch_up: Who lags behind the configuration.
    """

    def __init__(
        self,
        *,
        links: instance_links.InstanceLinks,
        reign: election.Term,
        configuration: configuration_watch.ConfigurationWatch,
    ) -> None:
        self.links = links
        self.reign = reign
        self.configuration = configuration
        self.rows: pool.WorkerRows | None = None
        self.instances: tuple[peer_messages.Instance, ...] = ()
        self.catch_up = resend_backoff.ResendBackoff()

    def share_configuration(
        self, name: values.InstanceName, version: int, now_s: float
    ) -> None:
        """Send the configuration to an instance that lags behind."""
        newest = self.configuration.version()
        if self.catch_up.is_due(name, has=version, newest=newest, now_s=now_s):
            self.links.links[name].send(self.configuration.shared())

    def name_reserve(self, reign: election.Term) -> None:
        """Tell who may take over without the store."""
        self.reign = reign
        for link in self.links.links.values():
            link.send(peer_messages.Reserved(successors=reign.successors))

    def call_all(self, instances: tuple[peer_messages.Instance, ...]) -> None:
        """Call the instances that have come, and tell the others of them.

        Args:
            instances: The directory as it was just read.
        """
        if self.links.ended or instances == self.instances:
            return
        self.links.dial_all()
        self.instances = instances
        for link in self.links.links.values():
            link.send(peer_messages.SharedDirectory(instances=instances))

    def share_rows(self, rows: pool.WorkerRows) -> None:
        """Send the list of workers to those that may take over."""
        self.rows = rows
        for name in self.reign.successors:
            self.send_rows(name)

    def send_rows(self, name: values.InstanceName) -> None:
        """Send the list of workers to one instance."""
        link = self.links.links.get(name)
        if link is not None and self.rows is not None:
            link.send(peer_messages.SharedWorkers(rows=self.rows.rows))

    def tell_owners(self, decided: list[actions.Action]) -> None:
        """Send what owners are told, before the orders go out."""
        told: dict[values.InstanceName, instance_links.LinkPort] = {}
        for action in decided:
            if isinstance(action, actions.NotifyOwner):
                link = self.links.links.get(action.owner)
                if link is not None:
                    link.send(action.message)
                    told[action.owner] = link
        for link in told.values():
            link.flush()
