"""Submission ids, which contain the identity of the owner.

The format is `zone~address~epoch~sequence~minted~team~checksum`.  Only the
incarnation in the first three fields may start the tasks of the submission,
so no two processes can start the same task.
"""

import dataclasses
import re
from typing import Final

import xxhash

from guavaroad.domain import names

_SEPARATOR: Final = '~'
_FIELD_COUNT: Final = 7
_MAX_ID_CHARS: Final = 256
_CLIENT_KEY_PATTERN: Final = re.compile('[A-Za-z0-9._:-]{1,128}')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Incarnation:
    """One process of an entry instance, from its start to its end.

    Attributes:
        availability_zone: Zone of the instance.
        address: Client address `ip:port`, to which peers forward requests.
        epoch: Random hexadecimal string generated at process start.
    """

    availability_zone: names.AvailabilityZone
    address: names.ClientAddress
    epoch: names.Epoch


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParsedId:
    """The fields of a submission id.

    Attributes:
        owner: Incarnation that issued the id.
        sequence: Sequence number of the id in its incarnation, from 1.
        minted_s: Wall-clock time of issue, in whole seconds since 1970.
        team: Team that the id was issued to.
    """

    owner: Incarnation
    sequence: int
    minted_s: int
    team: names.TeamName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InvalidId:
    """Result for text that is not a submission id.

    Attributes:
        reason: Why the text was rejected.
    """

    reason: str


def format_id(parsed: ParsedId) -> names.SubmissionId:
    """Format a submission id.

    Args:
        parsed: Fields of the id.

    Returns:
        The id, which has only unreserved URL characters.
    """
    owner = parsed.owner
    fields = (
        owner.availability_zone,
        owner.address.replace(':', '_'),
        owner.epoch,
        str(parsed.sequence),
        str(parsed.minted_s),
        parsed.team,
    )
    body = _SEPARATOR.join(fields)
    return names.SubmissionId(body + _SEPARATOR + _checksum(body))


def parse_id(text: str) -> ParsedId | InvalidId:
    """Parse a submission id.

    Args:
        text: Untrusted text from a client.

    Returns:
        The fields of the id, or the reason why the text is not one.
    """
    if len(text) > _MAX_ID_CHARS:
        return InvalidId(reason='longer than an id can be')
    fields = text.split(_SEPARATOR)
    if len(fields) != _FIELD_COUNT:
        return InvalidId(reason=f'not {_FIELD_COUNT} fields')
    body, _, check = text.rpartition(_SEPARATOR)
    if check != _checksum(body):
        return InvalidId(reason='checksum does not match')
    return _parse_fields(fields)


def is_client_key(text: str) -> bool:
    """Return whether a text is an idempotency key chosen by the client.

    A key never contains the separator of a submission id, so neither an id
    nor a corrupted one is mistaken for a key.

    Args:
        text: Value of the Idempotency-Key header.

    Returns:
        Whether the text has only letters, digits and `._:-`.
    """
    return _CLIENT_KEY_PATTERN.fullmatch(text) is not None


def _parse_fields(fields: list[str]) -> ParsedId | InvalidId:
    zone, address, epoch, sequence, minted, team, _ = fields
    if not (sequence.isdecimal() and minted.isdecimal()):
        return InvalidId(reason='sequence and time must be decimal')
    return ParsedId(
        owner=Incarnation(
            availability_zone=names.AvailabilityZone(zone),
            address=names.ClientAddress(address.replace('_', ':')),
            epoch=names.Epoch(epoch),
        ),
        sequence=int(sequence),
        minted_s=int(minted),
        team=names.TeamName(team),
    )


def _checksum(body: str) -> str:
    return xxhash.xxh32_hexdigest(body.encode())
