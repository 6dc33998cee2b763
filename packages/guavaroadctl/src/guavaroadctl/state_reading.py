"""Reads the state dump, whose sections may be missing or newer."""

from typing import Any

from guavaroadctl import endpoints

Record = dict[str, Any]


def value_at(state: Any, *paths: str) -> Any:
    """Return the value at the first path that the dump has.

    Args:
        state: A state dump.
        paths: Keys with dots between them, the best first.

    Returns:
        The value, or none.
    """
    for path in paths:
        found = _descend(state, path.split('.'))
        if found is not None:
            return found
    return None


def entries(section: Any) -> list[Record]:
    """Return the records of a section, a list or an object by name.

    Args:
        section: A section of the dump; anything else has no records.

    Returns:
        The records; those of an object carry their key as `name`.
    """
    match section:
        case list():
            return [one for one in section if isinstance(one, dict)]
        case dict():
            return [
                {'name': name} | one
                for name, one in section.items()
                if isinstance(one, dict)
            ]
    return []


def peer_endpoints(state: Any, scheme: str) -> tuple[endpoints.Endpoint, ...]:
    """Return the client addresses of the instances that one knows.

    Args:
        state: A state dump.
        scheme: Scheme by which the dump was read.

    Returns:
        Endpoints in the order of the dump.
    """
    section = value_at(state, 'peers')
    records = entries(value_at(section, 'known', 'members')) or entries(section)
    addresses = [
        value_at(record, 'client_address', 'address') for record in records
    ]
    found = [
        endpoints.parse(f'{scheme}://{address}')
        for address in addresses
        if address
    ]
    return tuple(one for one in found if one is not None)


def _descend(state: Any, keys: list[str]) -> Any:
    found = state
    for key in keys:
        if not isinstance(found, dict):
            return None
        found = found.get(key)
    return found
