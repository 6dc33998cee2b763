"""The platform: table service, object store and instance list."""

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
        version: Counts the writes of the row, from 1; 0 if there is none.
        body: Encoded value, empty if there is none.
    """

    key: str
    version: int
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowWrite:
    """One row of a transaction, written only if its version matches.

    Attributes:
        key: Key of the row.
        expected_version: Version that must be there; 0 for no row.
        body: New value.
    """

    key: str
    expected_version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """The transaction took effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A version did not match; nothing was written.

    Attributes:
        rows: The rows as they are.
    """

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The answer did not come; the write may have taken effect.

    Attributes:
        detail: What broke.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Away:
    """A read got no answer, or a write was provably not sent.

    Attributes:
        detail: What broke.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Absent:
    """What was read for is not there."""


WriteOutcome = Committed | Conflict | Unknown | Away


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """An entry instance in the platform's list.

    Attributes:
        availability_zone: Zone it is in.
        address: Client address.
        peer_address: Address its peers dial.
        leaving: Whether it is marked as leaving.
    """

    availability_zone: names.AvailabilityZone
    address: names.ClientAddress
    peer_address: names.PeerAddress
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceList:
    """The platform's list, which may lag.

    Attributes:
        entries: Entry instances.
        upstreams: Back ends.
    """

    entries: tuple[ListedInstance, ...]
    upstreams: tuple[upstreams.Upstream, ...]


class TablePort(Protocol):
    """The transactional table."""

    def transact(
        self, operation_id: str, writes: tuple[RowWrite, ...]
    ) -> 'defer.Deferred[WriteOutcome]':
        """Write all rows or none.

        Args:
            operation_id: Unique; a repeat answers as the first did.
            writes: Rows with the versions they must have.

        Returns:
            Fires with the outcome; never fails.
        """

    def read(self, key: str) -> 'defer.Deferred[Row | Away]':
        """Read one row; fires with version 0 if there is none."""

    def scan(self, prefix: str) -> 'defer.Deferred[tuple[Row, ...] | Away]':
        """Read the rows whose keys begin with the prefix."""

    def outcome_of(
        self, operation_id: str
    ) -> 'defer.Deferred[WriteOutcome | Absent]':
        """Read back what became of a transaction.

        Fires with `Absent` where the table never saw it.
        """


class ObjectPort(Protocol):
    """The object store."""

    def put(
        self, key: str, body: bytes
    ) -> 'defer.Deferred[Committed | Unknown]':
        """Store an object whole."""

    def fetch(self, key: str) -> 'defer.Deferred[bytes | Absent | Away]':
        """Read an object whole."""


class DirectoryPort(Protocol):
    """The instance list."""

    def list_instances(self) -> 'defer.Deferred[InstanceList | Away]':
        """Read the list."""
