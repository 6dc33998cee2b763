"""Validation of a patch against its base version."""

import dataclasses
from typing import Any, Final

import xxhash

from guavaroad.domain import json_input
from guavaroad.domain.configuration import document, merge_patch, record

_SECTIONS: Final = ('jobs', 'teams', 'pools', 'classes')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PatchRequest:
    """Patch as sent by an operator.

    Attributes:
        operation_id: Id that makes the request idempotent.
        base: Version that the patch applies to.
        body: JSON-encoded merge patch.
    """

    operation_id: str
    base: int
    body: bytes

    def digest(self) -> str:
        """Return the hash of the base version and the body."""
        return xxhash.xxh3_64_hexdigest(f'{self.base}:'.encode() + self.body)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Valid patch, which may be proposed.

    Attributes:
        patch: Decoded merge patch.
    """

    patch: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Invalid patch.

    Attributes:
        problems: One sentence per problem, beginning with the field's path.
    """

    problems: tuple[str, ...]


def check(body: record.Record, request: PatchRequest) -> Change | Refused:
    """Check a patch against the document in force.

    Args:
        body: Body of the head row.
        request: Patch whose base is the version of that row.

    Returns:
        The decoded patch, or all problems found.
    """
    patch = json_input.decode(request.body, object)
    if isinstance(patch, json_input.Malformed):
        return Refused(problems=(f'the patch is not JSON: {patch.reason}',))
    if not isinstance(patch, dict):
        return Refused(problems=('the patch must be a JSON object',))
    problems = unknown_removals(body.document, patch)
    if problems:
        return Refused(problems=problems)
    merged = merge_patch.apply_patch(body.document, patch)
    result = document.check_document(merged)
    match result:
        case document.Invalid():
            return Refused(problems=result.problems)
    return Change(patch=patch)


def unknown_removals(
    current: dict[str, Any], patch: dict[str, Any]
) -> tuple[str, ...]:
    """Return one problem per removed entry that does not exist."""
    problems: list[str] = []
    for section in _SECTIONS:
        section_patch = patch.get(section)
        if not isinstance(section_patch, dict):
            continue
        existing = current.get(section, {})
        problems.extend(
            f'{section}.{name}: not there, so not removed'
            for name, entry in section_patch.items()
            if entry is None and name not in existing
        )
    return tuple(problems)
