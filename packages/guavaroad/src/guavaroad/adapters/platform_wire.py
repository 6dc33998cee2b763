"""JSON structures of the platform's HTTP API; row bodies are base64."""

import msgspec


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row of the table."""

    key: str
    version: int
    body: str = ''


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """A row written by a transaction."""

    key: str
    expected_version: int
    body: str


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Rows to write atomically, at most once per operation id."""

    operation_id: str
    writes: list[Write]


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """A listed entry instance."""

    availability_zone: str
    address: str
    peer_address: str
    leaving: bool = False


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A listed upstream."""

    name: str
    availability_zone: str
    pool: str
    address: str
    slots: int
    leaving: bool = False


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of entry instances and upstreams."""

    entries: list[Entry] = []
    upstreams: list[Upstream] = []
