"""Head row: the versioned document, recent operations and open proposal.

A single row holds all of it, so each step is one compare-and-set, and the row
version orders all states that an instance may receive.
"""

from typing import Any, Final

import msgspec
import xxhash

from guavaroad.domain.configuration import merge_patch

MAX_OPERATIONS: Final = 256


class Accepted(msgspec.Struct, frozen=True, array_like=True):
    """Committed patch.

    Attributes:
        operation_id: Id from the operator, or a generated one.
        change_digest: Hash of the patch and its base version.
        version: Version created by the patch.
    """

    operation_id: str
    change_digest: str
    version: int


class Proposal(msgspec.Struct, frozen=True):
    """Patch that has been proposed but not yet decided.

    Attributes:
        proposal_id: Unique id of this attempt.
        operation_id: Id of the operation.
        change_digest: Hash of the patch and its base version.
        base: Version that the patch applies to.
        change: Decoded merge patch.
        driver: Client address of the instance that coordinates the vote.
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
        version: Version of the document in force.
        document: Document in force.
        operations: Most recent committed operations, oldest first.
        proposal: Open proposal, if there is one.
    """

    version: int = 0
    document: dict[str, Any] = {}
    operations: tuple[Accepted, ...] = ()
    proposal: Proposal | None = None

    def find_operation(self, operation_id: str) -> Accepted | None:
        """Return the committed operation with an id, if it is retained."""
        for operation in self.operations:
            if operation.operation_id == operation_id:
                return operation
        return None

    def proposed_document(self) -> dict[str, Any]:
        """Return the document that results from the open proposal."""
        if self.proposal is None:
            return self.document
        patched = merge_patch.apply_patch(self.document, self.proposal.change)
        return dict(patched)


_encoder = msgspec.json.Encoder(order='sorted')
_decoder = msgspec.json.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encode a record as the body of the head row."""
    return _encoder.encode(record)


def decode(body: bytes) -> Record:
    """Decode the body of the head row; b'' gives the empty record."""
    return _decoder.decode(body) if body else Record()


def digest_of(document: Any) -> str:
    """Return the hash of a document, independent of the key order."""
    return xxhash.xxh3_64_hexdigest(_encoder.encode(document))


def propose(record: Record, proposal: Proposal) -> Record:
    """Return the record with the proposal opened."""
    return msgspec.structs.replace(record, proposal=proposal)


def abort(record: Record) -> Record:
    """Return the record with its proposal dropped."""
    return msgspec.structs.replace(record, proposal=None)


def commit(record: Record) -> Record:
    """Return the record with its proposal committed."""
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
        operations=(*record.operations, accepted)[-MAX_OPERATIONS:],
    )
