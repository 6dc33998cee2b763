"""State that instances send each other: directory, worker rows, configuration.

An instance that becomes the allocator continues from it, also while the store
is unavailable.
"""

from typing import Any

from guavaroad.domain.pool import (
    agent_messages,
    peer_messages,
    state_digest,
    values,
)
from guavaroad.ports import pool
from guavaroad.services.pool import configuration_watch, directory


class SharedState:
    """State that this instance has received from allocators.

    Attributes:
        directory: Directory of instances.
        configuration: Configuration in force.
        codec: Decodes worker rows.
        rows: Text of the worker rows, by id.
    """

    def __init__(
        self,
        *,
        instance_directory: directory.Directory,
        configuration: configuration_watch.ConfigurationWatch,
        codec: pool.CodecPort,
    ) -> None:
        self.directory = instance_directory
        self.configuration = configuration
        self.codec = codec
        self.rows: dict[str, bytes] = {}

    def receive(self, message: Any, sender: values.InstanceName) -> None:
        """Apply a message of an allocator."""
        match message:
            case peer_messages.SharedWorkers():
                self.rows = dict(message.rows)
            case peer_messages.WorkerRowChanges():
                self.rows.update(message.rows)
                for worker_id in message.removed:
                    self.rows.pop(worker_id, None)
            case peer_messages.SharedDirectory():
                self.directory.merge(message.instances)
            case peer_messages.SharedConfig():
                self.configuration.apply(message.body, sender)

    def worker_rows(self) -> pool.WorkerRows | None:
        """Return the worker rows that allocators have shared, if any."""
        if not self.rows:
            return None
        return pool.WorkerRows(rows=tuple(self.rows.items()))

    def digests(self) -> peer_messages.FollowerState:
        """Return the message that shows which state this instance has."""
        rows = self.worker_rows()
        worker_infos = () if rows is None else self.codec.worker_infos(rows)
        return peer_messages.FollowerState(
            agent_version=agent_messages.AGENT_VERSION,
            directory_digest=state_digest.digest_instances(
                self.directory.all_instances()
            ),
            worker_list_digest=state_digest.digest_workers(worker_infos),
            evacuated=self.configuration.evacuations.current,
        )
