"""Submission ids that name their owner, so that one process decides.

An id reads `zone~address~epoch~sequence~minted~team~checksum`.  Only the
incarnation in the first three fields may start the tasks of the submission.
"""

import dataclasses
import re
from typing import Final

import xxhash

from guavaroad.domain import names

_SEPARATOR: Final = '~'
_FIELD_COUNT: Final = 7
_MAX_ID_CHARS: Final = 256
_CLIENT_KEY: Final = re.compile('[A-Za-z0-9._:-]{1,128}')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Incarnation:
    """One life of one entry instance process.

    Attributes:
        availability_zone: Zone the instance serves.
        address: Client address `ip:port`, where peers forward requests.
        epoch: Random hexadecimal text drawn when the process started.
    """

    availability_zone: names.AvailabilityZone
    address: names.ClientAddress
    epoch: names.Epoch


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParsedId:
    """The fields of a submission id.

    Attributes:
        owner: Incarnation that minted the id.
        sequence: Number of the id among those of the incarnation, from 1.
        minted_s: Wall-clock time of minting, whole seconds since 1970.
        team: Team the id was minted for.
    """

    owner: Incarnation
    sequence: int
    minted_s: int
    team: names.TeamName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InvalidId:
    """The text is not a submission id.

    Attributes:
        reason: What is wrong with it.
    """

    reason: str


def format_id(parsed: ParsedId) -> names.SubmissionId:
    """Write a submission id.

    Args:
        parsed: Fields of the id.

    Returns:
        The id, in unreserved URL characters.
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
    """Read a submission id.

    Args:
        text: Any text a client sent.

    Returns:
        The fields, or what is wrong with the text.
    """
    if len(text) > _MAX_ID_CHARS:
        return InvalidId(reason='longer than an id can be')
    fields = text.split(_SEPARATOR)
    if len(fields) != _FIELD_COUNT:
        return InvalidId(reason=f'not {_FIELD_COUNT} fields')
    body, _, check = text.rpartition(_SEPARATOR)
    if check != _checksum(body):
        return InvalidId(reason='checksum does not match')
    return _typed(fields)


def is_client_key(text: str) -> bool:
    """Tell a key that the client chose from an id, also a damaged one.

    Args:
        text: Value of the Idempotency-Key header.

    Returns:
        Whether the text is a key: letters, digits and `._:-` only.
    """
    return _CLIENT_KEY.fullmatch(text) is not None


def _typed(fields: list[str]) -> ParsedId | InvalidId:
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
