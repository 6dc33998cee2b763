"""Rows and transactions of the table stand-in."""

import base64
import dataclasses

import msgspec


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row; the body is base64 text."""

    key: str
    version: int
    body: str


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """A write of one row in a transaction."""

    key: str
    expected_version: int
    body: str


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that are applied atomically."""

    operation_id: str
    writes: list[Write]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of a transaction.

    Attributes:
        conflicts: Rows with another version than expected; empty if the
            transaction was committed.
    """

    conflicts: tuple[Row, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Counters since the start of the stand-in."""

    transactions: int = 0
    rows_written: int = 0
    reads: int = 0
    list_reads: int = 0


class Table:
    """Versioned rows; transactions are idempotent by operation id."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.operations: dict[str, Outcome] = {}
        self.counters = Counters()

    def read(self, key: str) -> Row:
        """Return a row, with version 0 if it does not exist."""
        self.counters.reads += 1
        return self.rows.get(key, Row(key=key, version=0, body=''))

    def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose keys have a prefix, sorted by key."""
        self.counters.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys]

    def transact(self, transaction: Transaction) -> Outcome:
        """Apply a transaction, or return its recorded outcome."""
        recorded = self.operations.get(transaction.operation_id)
        if recorded is not None:
            return recorded
        outcome = self.apply(transaction.writes)
        self.operations[transaction.operation_id] = outcome
        return outcome

    def apply(self, writes: list[Write]) -> Outcome:
        """Write all rows if every version is as expected."""
        self.counters.transactions += 1
        pairs = [
            (write, self.rows.get(write.key, _absent(write.key)))
            for write in writes
        ]
        conflicts = tuple(
            row for write, row in pairs if row.version != write.expected_version
        )
        if conflicts:
            return Outcome(conflicts=conflicts)
        for write, row in pairs:
            base64.b64decode(write.body, validate=True)
            self.rows[write.key] = Row(
                key=write.key, version=row.version + 1, body=write.body
            )
        self.counters.rows_written += len(writes)
        return Outcome()


def _absent(key: str) -> Row:
    return Row(key=key, version=0, body='')
