"""Interfaces of the platform: table, object store and instance list."""

import dataclasses
from typing import Protocol

from twisted.internet import defer

from guavaroad.domain import names
from guavaroad.ports import upstreams


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of the table.

    Attributes:
        key: Key of the row.
        version: Number of writes of the row; 0 if the row does not exist.
        body: Encoded value; empty if the row does not exist.
    """

    key: str
    version: int
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowWrite:
    """Conditional write of one row in a transaction.

    Attributes:
        key: Key of the row.
        expected_version: Required current version; 0 if the row must not
            exist.
        body: New value.
    """

    key: str
    expected_version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """The transaction was committed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A version did not match, so nothing was written.

    Attributes:
        rows: Current rows.
    """

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The answer was lost, and the write may have taken effect.

    Attributes:
        detail: Description of the failure.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Away:
    """A read was not answered, or a write is known not to have been sent.

    Attributes:
        detail: Description of the failure.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Absent:
    """The requested item does not exist."""


WriteOutcome = Committed | Conflict | Unknown | Away


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """Entry instance in the platform's list.

    Attributes:
        availability_zone: Zone of the instance.
        address: Client address.
        peer_address: Address that receives peer messages.
        leaving: Whether the instance is marked as leaving.
    """

    availability_zone: names.AvailabilityZone
    address: names.ClientAddress
    peer_address: names.PeerAddress
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceList:
    """The platform's instance list, which may be out of date.

    Attributes:
        entries: Entry instances.
        upstreams: Upstreams.
    """

    entries: tuple[ListedInstance, ...]
    upstreams: tuple[upstreams.Upstream, ...]


class TablePort(Protocol):
    """Transactional table."""

    def transact(
        self, operation_id: str, writes: tuple[RowWrite, ...]
    ) -> 'defer.Deferred[WriteOutcome]':
        """Write all rows or none.

        Args:
            operation_id: Unique id; a repeat returns the first outcome.
            writes: Rows with their expected versions.

        Returns:
            A Deferred that fires with the outcome and never fails.
        """

    def read(self, key: str) -> 'defer.Deferred[Row | Away]':
        """Read one row; a missing row has version 0."""

    def scan(self, prefix: str) -> 'defer.Deferred[tuple[Row, ...] | Away]':
        """Read all rows whose keys start with the prefix."""

    def outcome_of(
        self, operation_id: str
    ) -> 'defer.Deferred[WriteOutcome | Absent]':
        """Read the outcome of an earlier transaction.

        The result is `Absent` if the table never received it.
        """


class ObjectPort(Protocol):
    """Object store."""

    def put(
        self, key: str, body: bytes
    ) -> 'defer.Deferred[Committed | Unknown]':
        """Store an object atomically."""

    def fetch(self, key: str) -> 'defer.Deferred[bytes | Absent | Away]':
        """Read a complete object."""


class DirectoryPort(Protocol):
    """Instance list."""

    def list_instances(self) -> 'defer.Deferred[InstanceList | Away]':
        """Read the instance list."""
