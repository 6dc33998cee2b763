"""Interfaces of the worker pool: workers, and rows of the platform's store."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from guavaroad.domain import names
from guavaroad.domain.pool import (
    election,
    evacuations,
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
    """Request to a worker to start a run.

    Attributes:
        task: Name of the task.
        number: Run number.
        payload: Input of the task.
        until_ms: End of the lease in milliseconds, on the worker's clock.
        token: Fencing token of the allocator.
        started_ms: Start of the incarnation that it is meant for, in
            milliseconds since 1970; 0 for any. No other one may receive it:
            it knows neither the token nor the stops of that one, and the lease
            is not on its clock.
    """

    task: values.TaskName
    number: values.RunNumber
    payload: str
    until_ms: int
    token: values.Token
    started_ms: int = values.ANY_INCARNATION


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Request to a worker to stop a run.

    Attributes:
        task: Name of the task.
        number: Run number.
        token: Fencing token of the allocator.
    """

    task: values.TaskName
    number: values.RunNumber
    token: values.Token


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusPoll:
    """Request for a worker's run report, which also renews its lease.

    Attributes:
        token: Fencing token of the allocator.
        last_end_position: Position of the last ended run that was recorded.
        until_ms: End of the lease in milliseconds, on the worker's clock;
            None if that clock is unknown.
        wait_ms: Milliseconds for which the worker may wait for a run to end
            before it answers.
        started_ms: Start of the incarnation that it is meant for, in
            milliseconds since 1970; 0 for any. Another one only reports: it
            extends no lease, keeps its ends and does not wait.
    """

    token: values.Token
    last_end_position: int
    until_ms: int | None
    wait_ms: int
    started_ms: int = values.ANY_INCARNATION


class WorkersPort(Protocol):
    """Calls to workers.  Every callback is called exactly once."""

    def open(self, worker_id: values.WorkerId, address: str) -> None:
        """Prepare for calls to a worker at an address, `host:port`."""

    def close(self, worker_id: values.WorkerId) -> None:
        """Close the connections to a worker."""

    def start(
        self,
        worker_id: values.WorkerId,
        order: StartOrder,
        on_outcome: OrderCallback,
    ) -> None:
        """Send a start order; other incarnations refuse it."""

    def stop(
        self,
        worker_id: values.WorkerId,
        order: StopOrder,
        on_outcome: OrderCallback,
    ) -> None:
        """Send a stop order."""

    def poll_status(
        self,
        worker_id: values.WorkerId,
        poll: StatusPoll,
        on_outcome: StatusPollCallback,
    ) -> None:
        """Request the run report of a worker."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claimed:
    """The allocator row now contains this instance."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimLost:
    """Another instance changed the allocator row first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRows:
    """The platform's list of workers, still encoded.

    Attributes:
        rows: Pairs of worker id and encoded entry.
    """

    rows: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigText:
    """What the operator has stored; the configuration is still encoded.

    Attributes:
        body: Encoded configuration; None if there is none.
        position: Position after which to wait for the next change: the version
            of the store.
        zones: Evacuated availability zones.
    """

    body: bytes | None
    position: int
    zones: evacuations.ZoneChanges = evacuations.NO_CHANGES


class ClusterPort(Protocol):
    """Rows of the platform's store.  No method raises."""

    async def register_instance(self, instance: peer_messages.Instance) -> bool:
        """Add this instance to the directory; return whether it succeeded."""

    async def instances(
        self,
    ) -> tuple[peer_messages.Instance, ...] | platform.Away:
        """Read the instance directory."""

    async def read_allocator(self) -> election.AllocatorRow | platform.Away:
        """Read the allocator row."""

    async def claim(
        self,
        seen: election.AllocatorRow,
        token: values.Token,
        name: values.InstanceName,
    ) -> Claimed | ClaimLost | platform.Away:
        """Claim the allocator row by compare-and-set.

        Args:
            seen: Row as it was last read.
            token: Fencing token of the new term.
            name: Name of this instance.
        """

    async def workers(self) -> WorkerRows | platform.Away:
        """Read the list of workers."""

    async def config(self, after: int | None) -> ConfigText | platform.Away:
        """Read the configuration, or wait for a change after a position.

        Args:
            after: Position to wait after; None to read at once.
        """


class CodecPort(Protocol):
    """Decodes values from the platform's store."""

    def worker_infos(self, rows: WorkerRows) -> tuple[worker.WorkerInfo, ...]:
        """Return the workers of a list, skipping entries without a worker."""

    def configuration(self, body: bytes) -> routing.Configuration | None:
        """Return the configuration, or None if it can't be decoded."""


def version_of(configuration: routing.Configuration | None) -> int:
    """Return the version of a configuration, or -1 for None."""
    if configuration is None:
        return -1
    return names.Version(configuration.version)
