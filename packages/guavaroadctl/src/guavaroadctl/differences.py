"""Computes the differences between two JSON documents."""

import dataclasses
from typing import Any, Final

import msgspec

_ABSENT: Final = object()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Added:
    """A value that is only in the later document."""

    path: str
    after: Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Removed:
    """A value that is only in the earlier document."""

    path: str
    before: Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changed:
    """A value that differs between the documents."""

    path: str
    before: Any
    after: Any


Difference = Added | Removed | Changed


def between(
    before: Any, after: Any, path: tuple[str, ...] = ()
) -> tuple[Difference, ...]:
    """Return the differences, sorted by path.

    Args:
        before: Earlier document.
        after: Later document.
        path: Keys from the root to `before` and `after`.

    Returns:
        One difference per value; objects are compared key by key.
    """
    if not _is_compared_by_key(before, after):
        return _compare_values(before, after, '.'.join(path))
    earlier = {} if before is _ABSENT else before
    later = {} if after is _ABSENT else after
    differences: list[Difference] = []
    for key in sorted(earlier.keys() | later.keys()):
        differences.extend(
            between(
                earlier.get(key, _ABSENT),
                later.get(key, _ABSENT),
                (*path, key),
            )
        )
    return tuple(differences)


def format_line(difference: Difference) -> str:
    """Return a line with `+`, `-` or `~`, the path and the values."""
    match difference:
        case Added():
            after = _to_json(difference.after)
            return f'+ {difference.path}: {after}'
        case Removed():
            before = _to_json(difference.before)
            return f'- {difference.path}: {before}'
        case Changed():
            before = _to_json(difference.before)
            after = _to_json(difference.after)
            return f'~ {difference.path}: {before} -> {after}'


def _is_compared_by_key(before: Any, after: Any) -> bool:
    """Return whether to compare key by key."""
    present = [entry for entry in (before, after) if entry is not _ABSENT]
    if not all(isinstance(entry, dict) for entry in present):
        return False
    # Adding or removing an empty object is a difference of its own.
    return len(present) > 1 or bool(present[0])


def _compare_values(
    before: Any, after: Any, path: str
) -> tuple[Difference, ...]:
    if before is _ABSENT:
        return (Added(path=path, after=after),)
    if after is _ABSENT:
        return (Removed(path=path, before=before),)
    if before == after:
        return ()
    return (Changed(path=path, before=before, after=after),)


def _to_json(entry: Any) -> str:
    return msgspec.json.encode(entry).decode()
