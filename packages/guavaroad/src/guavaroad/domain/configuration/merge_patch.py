"""JSON merge patch as in RFC 7396."""

from typing import Any


def apply_patch(target: Any, patch: Any) -> Any:
    """Return the target with the patch merged in.

    Args:
        target: Decoded JSON; left as it is.
        patch: Decoded merge patch.

    Returns:
        A new value.
    """
    if not isinstance(patch, dict):
        return patch
    base = target if isinstance(target, dict) else {}
    merged = dict(base)
    for key, change in patch.items():
        if change is None:
            merged.pop(key, None)
        else:
            merged[key] = apply_patch(merged.get(key), change)
    return merged
