"""What the worker pool needs from outside: workers, and what must last."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from guavaroad.domain import names
from guavaroad.domain.pool import (
    election,
    outcomes,
    peer_messages,
    routing,
    values,
    worker,
)
from guavaroad.ports import platform

OrderCallback = Callable[[outcomes.OrderOutcome], object]
StatusPollCallback = Callable[
    [outcomes.RunReport | outcomes.Refused | outcomes.NoAnswer], object
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """A start.

    Attributes:
        task: Name of the task.
        number: Number of the start.
        payload: What the task is given.
        until_ms: Lease, on the worker's clock.
        token: Fencing token of the allocator.
    """

    task: values.TaskName
    number: values.RunNumber
    payload: str
    until_ms: int
    token: values.Token


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """A stop.

    Attributes:
        task: Name of the task.
        number: Number of the start.
        token: Fencing token of the allocator.
    """

    task: values.TaskName
    number: values.RunNumber
    token: values.Token


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusPoll:
    """A look at what a worker runs, which also holds it.

    Attributes:
        token: Fencing token of the allocator.
        last_end: Ends up to this one were taken note of.
        until_ms: Lease, on the worker's clock; none if that is not known.
        wait_ms: How long the worker may wait for an end before it answers.
    """

    token: values.Token
    last_end: int
    until_ms: int | None
    wait_ms: int


class WorkersPort(Protocol):
    """Workers and their orders; every callback is called once."""

    def open(self, facts: worker.Facts) -> None:
        """Be ready to call a worker."""

    def close(self, worker_id: values.WorkerId) -> None:
        """Close the connections to a worker."""

    def start(
        self,
        worker_id: values.WorkerId,
        order: StartOrder,
        on_outcome: OrderCallback,
    ) -> None:
        """Order a start."""

    def stop(
        self,
        worker_id: values.WorkerId,
        order: StopOrder,
        on_outcome: OrderCallback,
    ) -> None:
        """Order a stop."""

    def poll_status(
        self,
        worker_id: values.WorkerId,
        poll: StatusPoll,
        on_outcome: StatusPollCallback,
    ) -> None:
        """Look at a worker."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claimed:
    """The row names this instance now."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimLost:
    """Another instance changed the row first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRows:
    """The platform's list of workers as it keeps it.

    Attributes:
        rows: Ids and texts.
    """

    rows: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigText:
    """A configuration as the platform keeps it.

    Attributes:
        body: Its text.
        position: Where to go on reading changes.
    """

    body: bytes | None
    position: int


class ClusterPort(Protocol):
    """Rows of the platform's store; no method raises."""

    async def register_instance(self, instance: peer_messages.Instance) -> bool:
        """Put this instance into the directory; return whether it is."""

    async def instances(
        self,
    ) -> tuple[peer_messages.Instance, ...] | platform.Away:
        """Read the directory of instances."""

    async def read_allocator(self) -> election.AllocatorRow | platform.Away:
        """Read who allocates."""

    async def claim(
        self,
        seen: election.AllocatorRow,
        token: values.Token,
        name: values.InstanceName,
    ) -> Claimed | ClaimLost | platform.Away:
        """Name this instance as the holder, if the row is as it was seen."""

    async def workers(self) -> WorkerRows | platform.Away:
        """Read the list of workers."""

    async def config(self, after: int | None) -> ConfigText | platform.Away:
        """Read the configuration, or wait for a change after a position."""


class CodecPort(Protocol):
    """Reads the platform's texts."""

    def facts(self, rows: WorkerRows) -> tuple[worker.Facts, ...]:
        """Return the workers of a list, without entries that name none."""

    def configuration(self, body: bytes) -> routing.Configuration | None:
        """Return a configuration, or none if the text makes no sense."""


def version_of(configuration: routing.Configuration | None) -> int:
    """Return the version of a configuration; -1 for none."""
    if configuration is None:
        return -1
    return names.Version(configuration.version)
