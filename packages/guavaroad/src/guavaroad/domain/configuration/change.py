"""Checks one operator's patch against the version that it names."""

import dataclasses
from typing import Any, Final

import msgspec
import xxhash

from guavaroad.domain.configuration import document, merge_patch, record

_SECTIONS: Final = ('jobs', 'teams', 'pools', 'classes')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PatchRequest:
    """A patch as an operator sent it.

    Attributes:
        operation_id: Id that makes a repeat safe.
        base: Version that the operator saw.
        body: Encoded merge patch.
    """

    operation_id: str
    base: int
    body: bytes

    def digest(self) -> str:
        """Return the hash of the patch and its base."""
        return xxhash.xxh3_64_hexdigest(f'{self.base}:'.encode() + self.body)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A patch that may be proposed.

    Attributes:
        patch: Decoded merge patch.
    """

    patch: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A patch that may not be proposed.

    Attributes:
        problems: One sentence a field, each beginning with its path.
    """

    problems: tuple[str, ...]


def check(body: record.Record, request: PatchRequest) -> Change | Refused:
    """Check a patch against the document in force.

    Args:
        body: The head row.
        request: The patch; its base is the version of the row.

    Returns:
        The decoded patch, or every problem found.
    """
    try:
        patch = msgspec.json.decode(request.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as broken:
        return Refused(problems=(f'the patch is not JSON: {broken}',))
    if not isinstance(patch, dict):
        return Refused(problems=('the patch must be a JSON object',))
    unknown = unknown_removals(body.document, patch)
    if unknown:
        return Refused(problems=unknown)
    merged = merge_patch.apply_patch(body.document, patch)
    checked = document.check_document(merged)
    match checked:
        case document.Invalid():
            return Refused(problems=checked.problems)
    return Change(patch=patch)


def unknown_removals(
    present: dict[str, Any], patch: dict[str, Any]
) -> tuple[str, ...]:
    """Return a problem for each removal of what is not there."""
    found: list[str] = []
    for section in _SECTIONS:
        changes = patch.get(section)
        if not isinstance(changes, dict):
            continue
        there = present.get(section, {})
        found.extend(
            f'{section}.{name}: not there, so not removed'
            for name, changed in changes.items()
            if changed is None and name not in there
        )
    return tuple(found)
