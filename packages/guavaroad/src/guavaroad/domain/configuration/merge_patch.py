"""JSON merge patch (RFC 7396)."""

from typing import Any


def apply_patch(target: Any, patch: Any) -> Any:
    """Apply a merge patch.

    Args:
        target: Decoded JSON; not modified.
        patch: Decoded merge patch.

    Returns:
        The patched value.
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
