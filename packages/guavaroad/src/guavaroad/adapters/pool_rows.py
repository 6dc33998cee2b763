"""The pool's own rows in a store: instances, and the active allocator."""

from typing import Final

import msgspec

from guavaroad.domain import endpoints, json_input
from guavaroad.domain.pool import peer_messages, values
from guavaroad.ports import logs


class AllocatorRow(msgspec.Struct):
    """The row that names the active allocator.

    Attributes:
        token: Fencing token of the allocator.
        holder: Name of the allocator's instance.
    """

    token: values.Token
    holder: values.InstanceName


_ALLOCATOR: Final = json_input.Decoder(AllocatorRow)
_INSTANCE: Final = json_input.Decoder(peer_messages.Instance)
_log: Final = logs.logger_of('platform')


def encode(row: AllocatorRow | peer_messages.Instance) -> bytes:
    """Return the content of a row."""
    return msgspec.json.encode(row)


def decode_allocator(body: bytes) -> AllocatorRow | json_input.Malformed:
    """Return the row that names the allocator."""
    return _ALLOCATOR.decode(body)


def decode_instance(key: str, body: bytes) -> peer_messages.Instance | None:
    """Return the instance of a row, or none, and log why, if it is invalid."""
    decoded = _INSTANCE.decode(body)
    if isinstance(decoded, json_input.Malformed):
        _log.warning('ignoring instance {!r}: {}', key, decoded.reason)
        return None
    try:
        endpoints.check_ip_address(decoded.address)
    except ValueError as error:
        _log.warning('ignoring instance {!r}: {}', key, error)
        return None
    return decoded
