"""Sends the allocator's decisions and state to the instances that follow it.

State is sent as changes.  An instance that lacks more, by its digests, gets all
of it at a limited rate, so that heartbeats never wait behind it.
"""

import dataclasses
from typing import Final

from guavaroad.domain.pool import (
    actions,
    election,
    peer_messages,
    resend_backoff,
    state_digest,
    values,
    worker,
)
from guavaroad.ports import pool, timers
from guavaroad.services.pool import (
    configuration_watch,
    directory,
    instance_links,
)

# Share of the link's capacity for instances that lack state.
CATCH_UP_LINK_SHARE: Final = 0.1
# Size of a directory entry in a message, in bytes.
INSTANCE_BYTES: Final = 60
# Size of a worker row in a message beside its text, in bytes.
ROW_EXTRA_BYTES: Final = 24
# Rows of one message to an instance that lacks worker rows.
ROWS_PER_MESSAGE: Final = 16
# Time after which a linked instance that has not reported its state is taken
# for one of an older build, which does not report it, in seconds.
LEGACY_DELAY_S: Final = 0.5


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class FollowerSync:
    """What an instance still has to be sent.

    Attributes:
        linked_s: Time at which its link was opened, in seconds.
        has_reported: Whether it has reported its state.
        needs_directory: Whether it lacks the directory.
        missing_rows: Workers whose rows it lacks.
    """

    linked_s: float
    has_reported: bool = False
    needs_directory: bool = False
    missing_rows: list[values.WorkerId] = dataclasses.field(
        default_factory=list
    )


class StateBroadcaster:
    """Notifies job owners, and replicates state to other instances.

    Attributes:
        links: Links to the instances.
        term: Term of this allocator, with its successors.
        configuration: Configuration in force.
        rows: Text of each worker row, as read from the store.
        worker_infos: The decoded rows.
        instances: Directory that was last sent.
        followers: State of each linked instance.
        successors_changed: Whether new successors have not been announced.
        resend_backoff: Decides when an instance is sent the configuration.
    """

    def __init__(
        self,
        *,
        links: instance_links.InstanceLinks,
        term: election.Term,
        configuration: configuration_watch.ConfigurationWatch,
        instance_directory: directory.Directory,
        timer_service: timers.TimerService,
        link_bytes_per_s: float,
    ) -> None:
        self.links = links
        self.term = term
        self.configuration = configuration
        self.directory = instance_directory
        self.timers = timer_service
        self.link_bytes_per_s = link_bytes_per_s
        self.rows: dict[str, bytes] = {}
        self.worker_infos: dict[values.WorkerId, worker.WorkerInfo] = {}
        self.instances: frozenset[peer_messages.Instance] = frozenset(
            instance_directory.all_instances()
        )
        self.followers: dict[values.InstanceName, FollowerSync] = {}
        self.successors_changed = False
        self.resend_backoff = resend_backoff.ResendBackoff()

    def add_follower(self, name: values.InstanceName) -> None:
        """Record a new link."""
        self.followers[name] = FollowerSync(linked_s=self.timers.now())

    def remove_follower(self, name: values.InstanceName) -> None:
        """Forget an instance whose link is lost."""
        self.followers.pop(name, None)

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

    def change_successors(self, term: election.Term) -> None:
        """Announce new successors with the next heartbeat."""
        self.term = term
        self.successors_changed = True

    def share_directory(self) -> None:
        """Dial new instances, and send the changes of the directory."""
        instances = frozenset(self.directory.all_instances())
        changed = instances - self.instances
        if self.links.closed or not changed:
            return
        self.links.dial_all()
        self.instances = instances
        message = peer_messages.SharedDirectory(instances=tuple(changed))
        for link in self.links.links.values():
            link.send(message)

    def share_worker_rows(
        self, rows: pool.WorkerRows, listed: tuple[worker.WorkerInfo, ...]
    ) -> None:
        """Send the changed worker rows to every instance with a reserved token.

        Args:
            rows: The rows. Their text changes with each heartbeat of a worker.
            listed: The decoded rows; only changes of these are sent.
        """
        if self.links.closed:
            return
        known = self.worker_infos
        self.rows = dict(rows.rows)
        self.worker_infos = {
            worker_info.worker_id: worker_info for worker_info in listed
        }
        changed = tuple(
            (worker_id, self.rows[worker_id])
            for worker_id, worker_info in self.worker_infos.items()
            if known.get(worker_id) != worker_info
        )
        removed = tuple(known.keys() - self.worker_infos.keys())
        message = peer_messages.WorkerRowChanges(rows=changed, removed=removed)
        for name in self.term.successors:
            follower = self.followers.get(name)
            if follower is not None and follower.has_reported:
                self.links.links[name].send(message)

    def record_state(
        self, name: values.InstanceName, state: peer_messages.FollowerState
    ) -> None:
        """Find out what an instance lacks."""
        follower = self.followers[name]
        follower.has_reported = True
        own_digest = state_digest.digest_instances(
            self.directory.all_instances()
        )
        follower.needs_directory = state.directory_digest != own_digest
        if name in self.term.successors:
            own_digest = state_digest.digest_workers(self.worker_infos.values())
            if state.worker_list_digest != own_digest:
                follower.missing_rows = list(self.worker_infos)

    def send_pending(self) -> None:
        """Send what instances lack, within the share of the link."""
        now_s = self.timers.now()
        if self.successors_changed:
            self.successors_changed = False
            message = peer_messages.Reserved(successors=self.term.successors)
            for link in self.links.links.values():
                link.send(message)
        budget = self.link_bytes_per_s * CATCH_UP_LINK_SHARE
        budget *= election.HEARTBEAT_PERIOD_S
        for name, follower in self.followers.items():
            if budget <= 0:
                return
            if follower.has_reported:
                budget -= self.send_missing(name, follower)
            elif now_s - follower.linked_s > LEGACY_DELAY_S:
                budget -= self.send_everything(name, follower)

    def send_missing(
        self, name: values.InstanceName, follower: FollowerSync
    ) -> int:
        """Send an instance some of what it lacks; return the bytes."""
        link = self.links.links[name]
        sent = 0
        if follower.needs_directory:
            follower.needs_directory = False
            instances = self.directory.all_instances()
            link.send(peer_messages.SharedDirectory(instances=instances))
            sent = len(instances) * INSTANCE_BYTES
        if follower.missing_rows:
            due = follower.missing_rows[:ROWS_PER_MESSAGE]
            follower.missing_rows = follower.missing_rows[ROWS_PER_MESSAGE:]
            rows = tuple(
                (worker_id, self.rows[worker_id])
                for worker_id in due
                if worker_id in self.rows
            )
            link.send(peer_messages.WorkerRowChanges(rows=rows, removed=()))
            sent += _size_of(rows)
        return sent

    def send_everything(
        self, name: values.InstanceName, follower: FollowerSync
    ) -> int:
        """Send all state to an instance of an older build; return the bytes."""
        link = self.links.links[name]
        # Once in a while suffices, as the whole state is sent.
        follower.linked_s = self.timers.now()
        instances = self.directory.all_instances()
        link.send(peer_messages.SharedDirectory(instances=instances))
        sent = len(instances) * INSTANCE_BYTES
        if name in self.term.successors:
            rows = tuple(self.rows.items())
            link.send(peer_messages.SharedWorkers(rows=rows))
            sent += _size_of(rows)
        return sent

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


def _size_of(rows: tuple[tuple[str, bytes], ...]) -> int:
    return sum(len(body) + ROW_EXTRA_BYTES for _, body in rows)
