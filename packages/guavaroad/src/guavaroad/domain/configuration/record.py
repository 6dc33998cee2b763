"""The head row: the numbered document, recent operations, open proposal.

All of it is one row, so that one compare-and-set decides each step, and the
version of the row orders everything that anybody ever hears of it.
"""

from typing import Any, Final

import msgspec
import xxhash

from guavaroad.domain.configuration import merge_patch

KEPT_OPERATIONS: Final = 256


class Accepted(msgspec.Struct, frozen=True, array_like=True):
    """A patch that was committed.

    Attributes:
        operation_id: Id that the operator gave, or that was made up.
        change_digest: Hash of the patch and its base.
        version: Version that it made.
    """

    operation_id: str
    change_digest: str
    version: int


class Proposal(msgspec.Struct, frozen=True):
    """A patch on its way.

    Attributes:
        proposal_id: Unique for each try.
        operation_id: Id of the operation.
        change_digest: Hash of the patch and its base.
        base: Version it applies to.
        change: Decoded merge patch.
        driver: Client address of the instance that drives it.
    """

    proposal_id: str
    operation_id: str
    change_digest: str
    base: int
    change: dict[str, Any]
    driver: str = ''


class Record(msgspec.Struct, frozen=True):
    """Body of the head row.

    Attributes:
        version: Number of the document in force.
        document: The document.
        operations: Latest committed operations, oldest first.
        proposal: The open proposal, if there is one.
    """

    version: int = 0
    document: dict[str, Any] = {}
    operations: tuple[Accepted, ...] = ()
    proposal: Proposal | None = None

    def find_operation(self, operation_id: str) -> Accepted | None:
        """Return the committed operation of an id, if it is kept."""
        for operation in self.operations:
            if operation.operation_id == operation_id:
                return operation
        return None

    def proposed_document(self) -> dict[str, Any]:
        """Return the document that the open proposal would make."""
        if self.proposal is None:
            return self.document
        merged = merge_patch.apply_patch(self.document, self.proposal.change)
        return dict(merged)


_encoder = msgspec.json.Encoder(order='sorted')
_decoder = msgspec.json.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encode a record for the row."""
    return _encoder.encode(record)


def decode(body: bytes) -> Record:
    """Decode the body of the row; no body is the empty record."""
    return _decoder.decode(body) if body else Record()


def digest_of(document: Any) -> str:
    """Return the hash of a document, whatever the order of its keys."""
    return xxhash.xxh3_64_hexdigest(_encoder.encode(document))


def propose(record: Record, proposal: Proposal) -> Record:
    """Return the record with an open proposal."""
    return msgspec.structs.replace(record, proposal=proposal)


def abort(record: Record) -> Record:
    """Return the record without its proposal."""
    return msgspec.structs.replace(record, proposal=None)


def commit(record: Record) -> Record:
    """Return the record with its proposal in force."""
    proposal = record.proposal
    if proposal is None:
        return record
    version = proposal.base + 1
    accepted = Accepted(
        operation_id=proposal.operation_id,
        change_digest=proposal.change_digest,
        version=version,
    )
    return Record(
        version=version,
        document=record.proposed_document(),
        operations=(*record.operations, accepted)[-KEPT_OPERATIONS:],
    )
