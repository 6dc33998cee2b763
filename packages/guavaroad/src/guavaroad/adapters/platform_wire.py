"""Wire forms of the platform's HTTP interface.  Bodies of rows are base64."""

import msgspec


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the table."""

    key: str
    version: int
    body: str = ''


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a transaction."""

    key: str
    expected_version: int
    body: str


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Rows to write together, once for an operation id."""

    operation_id: str
    writes: list[Write]


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry instance."""

    availability_zone: str
    address: str
    peer_address: str
    leaving: bool = False


class BackEnd(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream."""

    name: str
    availability_zone: str
    pool: str
    address: str
    slots: int
    leaving: bool = False


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list."""

    entries: list[Entry] = []
    upstreams: list[BackEnd] = []
