"""Reads state dumps, whose sections and keys differ between releases."""

from typing import Any, Final

from guavaroadctl import endpoints

Record = dict[str, Any]

_DEAD_STATE: Final = 'dead'


def value_at(state: Any, *paths: str) -> Any:
    """Return the value at the first path that exists.

    Args:
        state: A state dump.
        paths: Dotted paths in order of preference.

    Returns:
        The value, or None.
    """
    for path in paths:
        entry = _descend(state, path.split('.'))
        if entry is not None:
            return entry
    return None


def entries(section: Any) -> list[Record]:
    """Return the records of a list, or of an object keyed by name.

    Args:
        section: A section of the dump; other types have no records.

    Returns:
        The records; those of an object have their key as `name`.
    """
    match section:
        case list():
            return [entry for entry in section if isinstance(entry, dict)]
        case dict():
            return [
                {'name': name} | entry
                for name, entry in section.items()
                if isinstance(entry, dict)
            ]
    return []


def peer_endpoints(state: Any, scheme: str) -> tuple[endpoints.Endpoint, ...]:
    """Return the client endpoints of the peers that are not dead.

    Args:
        state: A state dump.
        scheme: URL scheme for the endpoints.

    Returns:
        The endpoints in the order of the dump.
    """
    records = entries(value_at(state, 'membership.peers', 'peers'))
    addresses = [
        value_at(record, 'client_address', 'address')
        for record in records
        if record.get('state') != _DEAD_STATE
    ]
    parsed = [
        endpoints.parse(f'{scheme}://{address}')
        for address in addresses
        if address
    ]
    return tuple(endpoint for endpoint in parsed if endpoint is not None)


def _descend(state: Any, keys: list[str]) -> Any:
    node = state
    for key in keys:
        if not isinstance(node, dict):
            return None
        node = node.get(key)
    return node
