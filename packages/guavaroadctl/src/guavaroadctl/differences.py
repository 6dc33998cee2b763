"""What differs between two JSON documents."""

import dataclasses
from typing import Any, Final

import msgspec

_ABSENT: Final = object()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Added:
    """A value that only the later document has."""

    path: str
    after: Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Removed:
    """A value that only the earlier document has."""

    path: str
    before: Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changed:
    """A value that differs."""

    path: str
    before: Any
    after: Any


Difference = Added | Removed | Changed


def between(
    before: Any, after: Any, path: tuple[str, ...] = ()
) -> tuple[Difference, ...]:
    """Return the differences, in the order of their paths.

    Args:
        before: Earlier document.
        after: Later document.
        path: Keys that lead to both.

    Returns:
        One difference a value; objects are compared key by key.
    """
    if not _both_objects(before, after):
        return _of_values(before, after, '.'.join(path))
    earlier = {} if before is _ABSENT else before
    later = {} if after is _ABSENT else after
    found: list[Difference] = []
    for key in sorted(earlier.keys() | later.keys()):
        found.extend(
            between(
                earlier.get(key, _ABSENT),
                later.get(key, _ABSENT),
                (*path, key),
            )
        )
    return tuple(found)


def line(difference: Difference) -> str:
    """Return a difference as text: `+`, `-` or `~`, the path, the values."""
    match difference:
        case Added():
            after = _shown(difference.after)
            return f'+ {difference.path}: {after}'
        case Removed():
            before = _shown(difference.before)
            return f'- {difference.path}: {before}'
        case Changed():
            before = _shown(difference.before)
            after = _shown(difference.after)
            return f'~ {difference.path}: {before} -> {after}'


def _both_objects(before: Any, after: Any) -> bool:
    """Return whether to compare by key; an absent value has no keys."""
    given = [one for one in (before, after) if one is not _ABSENT]
    return all(isinstance(one, dict) and one for one in given)


def _of_values(before: Any, after: Any, path: str) -> tuple[Difference, ...]:
    if before is _ABSENT:
        return (Added(path=path, after=after),)
    if after is _ABSENT:
        return (Removed(path=path, before=before),)
    if before == after:
        return ()
    return (Changed(path=path, before=before, after=after),)


def _shown(entry: Any) -> str:
    return msgspec.json.encode(entry).decode()
