"""The rows of the table stand-in and its transactions."""

import base64
import dataclasses

import msgspec


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row; the body is base64 text."""

    key: str
    version: int
    body: str


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a transaction."""

    key: str
    expected_version: int
    body: str


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Rows that are written together or not at all."""

    operation_id: str
    writes: list[Write]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What became of a transaction.

    Attributes:
        conflicts: Rows that did not match; empty if it was committed.
    """

    conflicts: tuple[Row, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Work done since the start."""

    transactions: int = 0
    rows_written: int = 0
    reads: int = 0
    list_reads: int = 0


class Table:
    """Rows with versions; a repeat of an operation id writes nothing."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.operations: dict[str, Outcome] = {}
        self.counters = Counters()

    def read(self, key: str) -> Row:
        """Return a row; version 0 if there is none."""
        self.counters.reads += 1
        return self.rows.get(key, Row(key=key, version=0, body=''))

    def scan(self, prefix: str) -> list[Row]:
        """Return the rows below a prefix, sorted by key."""
        self.counters.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys]

    def transact(self, transaction: Transaction) -> Outcome:
        """Write all rows if all versions match."""
        known = self.operations.get(transaction.operation_id)
        if known is not None:
            return known
        outcome = self.apply(transaction.writes)
        self.operations[transaction.operation_id] = outcome
        return outcome

    def apply(self, writes: list[Write]) -> Outcome:
        """Check versions, then write."""
        self.counters.transactions += 1
        found = [
            (write, self.rows.get(write.key, _absent(write.key)))
            for write in writes
        ]
        conflicts = tuple(
            row for write, row in found if row.version != write.expected_version
        )
        if conflicts:
            return Outcome(conflicts=conflicts)
        for write, row in found:
            base64.b64decode(write.body, validate=True)
            self.rows[write.key] = Row(
                key=write.key, version=row.version + 1, body=write.body
            )
        self.counters.rows_written += len(writes)
        return Outcome()


def _absent(key: str) -> Row:
    return Row(key=key, version=0, body='')
