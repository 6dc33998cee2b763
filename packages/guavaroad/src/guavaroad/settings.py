"""Settings of one instance, read from YAML and checked before use."""

import dataclasses
import ipaddress
import pathlib
from collections.abc import Iterable
from typing import Annotated, Any, Final, Literal
from urllib import parse as urls

import pydantic

from guavaroad import settings_problems, settings_slots
from guavaroad.adapters import strict_yaml, tls
from guavaroad.domain.configuration import document

_QUEUED_BYTES = 64 * 1024 * 1024

Port = Annotated[int, pydantic.Field(ge=1, le=65_535)]
_DIALLED: Final = (
    'must be an IP number that others can dial, IPv6 in brackets, and a port'
)

Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError(f'must end with a port from 1 to 65535, not {text!r}')
    try:
        number = ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError as broken:
        raise ValueError(
            f'must be an IP number and a port, not {text!r}'
        ) from broken
    bracketed = host.startswith('[')
    if number.is_unspecified or bracketed != (number.version == 6):
        raise ValueError(f'{_DIALLED}, not {text!r}')
    return text


def _check_url(text: str) -> str:
    parts = urls.urlsplit(text)
    if parts.username is not None:
        raise ValueError('must not carry a user or password')
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError(
            f'must be http:// or https:// and a host, not {text!r}'
        )
    return text


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]


class Section(document.StrictModel):
    """A section that takes values of the exact type alone."""

    model_config = pydantic.ConfigDict(strict=True)


class Instance(Section):
    """Who and where this instance is.

    Attributes:
        availability_zone: Zone it serves.
        client_address: Where clients and forwarding peers reach it.
        peer_address: Where peers dial it.
    """

    availability_zone: document.Name
    client_address: Address
    peer_address: Address

    @pydantic.model_validator(mode='after')
    def check_addresses(self) -> 'Instance':
        """Check that the two ports differ."""
        if self.client_address == self.peer_address:
            raise ValueError(
                'client_address and peer_address are both '
                f'{self.client_address}; they must differ'
            )
        return self


class Platform(Section):
    """The platform's endpoint.

    Attributes:
        url: Base URL.
        timeout_s: Longest wait for an answer.
        list_period_s: Between two reads of the instance list.
        config_period_s: Between two reads of the configuration head.
    """

    url: Url
    timeout_s: Seconds = 5
    list_period_s: Seconds = 2
    config_period_s: Seconds = 1


class Token(Section):
    """A bearer token.

    Attributes:
        token: The secret.
        team: Team of a client; an operator has none.
        operator: Whether it may read and patch the configuration.
    """

    token: pydantic.SecretStr = pydantic.Field(min_length=8)
    team: document.Name | None = None
    operator: bool = False

    @pydantic.model_validator(mode='after')
    def check_holder(self) -> 'Token':
        """Check that the token names exactly one kind of holder."""
        if self.operator == (self.team is not None):
            raise ValueError(
                'must have a team or be operator: true, and not both'
            )
        return self


class Limits(Section):
    """Bounds of one instance.

    Attributes:
        body_bytes: Largest request body.
        held_body_bytes: Most bytes of request bodies held at once.
        request_timeout_s: From the first byte of a request to its last.
        connections: Most connections of clients, operators and peers.
        queued_tasks: Most tasks waiting in all.
        queued_bytes: Most payload bytes waiting in all.
        kept_outcomes: Most ended submissions kept.
        id_lifetime_s: How long a submission id is good.
        default_deadline_s: Deadline of a job that names none.
        attempt_timeout_s: Longest wait for an upstream's answer.
        connections_per_upstream: Bound of the whole fleet.
        fleet_size: Instances that share that bound.
    """

    body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 8 * 1024 * 1024
    held_body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 64 * 1024 * 1024
    request_timeout_s: Seconds = 20
    connections: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 4000
    queued_tasks: Annotated[int, pydantic.Field(ge=1)] = 200_000
    queued_bytes: Annotated[int, pydantic.Field(ge=1024)] = _QUEUED_BYTES
    kept_outcomes: Annotated[int, pydantic.Field(ge=1)] = 100_000
    id_lifetime_s: Seconds = 3600
    default_deadline_s: Seconds = 60
    attempt_timeout_s: Seconds = 60
    connections_per_upstream: Annotated[int, pydantic.Field(ge=1)] = 60
    fleet_size: Annotated[int, pydantic.Field(ge=1)] = 9


class Logs(Section):
    """Where logs go.

    Attributes:
        level: Least level written.
        sink: Stream of the process that takes them.
        json_lines: Whether each record is a JSON object.
    """

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    sink: Literal['stderr', 'stdout'] = 'stderr'
    json_lines: bool = False


class Tls(Section):
    """Certificates of this instance and those it trusts.

    Attributes:
        certificate_file: PEM chain of the client port, its own first.
        key_file: PEM key of that certificate, without a password.
        ca_file: PEM certificates that other instances, the platform and
            the upstreams are checked against, if not the system's.
    """

    certificate_file: str
    key_file: str
    ca_file: str | None = None

    @pydantic.model_validator(mode='after')
    def check_files(self) -> 'Tls':
        """Check that the files hold what they should."""
        for found in (self.identity(), self.trust()):
            match found:
                case tls.BadFile():
                    raise ValueError(f'{found.path} {found.reason}')
        return self

    def identity(self) -> tls.Identity | tls.BadFile:
        """Read the certificate and the key."""
        return tls.read_identity(
            pathlib.Path(self.certificate_file), pathlib.Path(self.key_file)
        )

    def trust(self) -> Any:
        """Read what to trust; none stands for the system's."""
        if self.ca_file is None:
            return None
        return tls.read_trust(pathlib.Path(self.ca_file))


class Settings(Section):
    """All settings of one instance.

    Attributes:
        instance: Who and where it is.
        platform: The platform's endpoint.
        peers: Peer addresses to begin with.
        tokens: Bearer tokens.
        limits: Bounds.
        slots: How slots are leased.
        logs: Where logs go.
        tls: Certificates; without them the client port speaks plain HTTP.
        drain_s: Longest planned stop.
    """

    instance: Instance
    platform: Platform
    peers: Annotated[tuple[Address, ...], pydantic.Field(strict=False)] = ()
    tokens: Annotated[
        tuple[Token, ...],
        pydantic.Field(min_length=1, strict=False),
    ]
    limits: Limits = Limits()
    slots: settings_slots.Slots = settings_slots.Slots()
    logs: Logs = Logs()
    tls: Tls | None = None
    drain_s: Seconds = 30

    @pydantic.model_validator(mode='after')
    def check_whole(self) -> 'Settings':
        """Check what spans several entries."""
        places = _repeated(known.token for known in self.tokens)
        if places:
            raise ValueError(f'tokens.{places[0]}.token: is given before')
        peers = _repeated(self.peers)
        if peers:
            raise ValueError(f'peers.{peers[0]}: is given before')
        return self

    def secrets(self) -> list[str]:
        """Return the texts that nothing may show."""
        return [known.token.get_secret_value() for known in self.tokens]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BadSettings:
    """The file can't be used.

    Attributes:
        problems: One sentence a problem, each beginning with the file.
    """

    problems: tuple[str, ...]


def load_settings(path: pathlib.Path) -> Settings | BadSettings:
    """Read and check a settings file.

    Args:
        path: YAML file.

    Returns:
        The settings, or every problem found.
    """
    raw = strict_yaml.read_file(path)
    match raw:
        case strict_yaml.Unreadable():
            return BadSettings(problems=(f'{path}: {raw.reason}',))
    return check_settings(str(path), raw)


def check_settings(source: str, raw: Any) -> Settings | BadSettings:
    """Check decoded settings.

    Args:
        source: File name for the messages.
        raw: Decoded YAML.

    Returns:
        The settings, or every problem found.
    """
    try:
        return Settings.model_validate(raw)
    except pydantic.ValidationError as broken:
        found = settings_problems.sentences(Settings, broken)
    return BadSettings(
        problems=tuple(f'{source}: {problem}' for problem in found)
    )


def _repeated(entries: Iterable[Any]) -> list[int]:
    """Return the positions of entries that stand earlier too."""
    listed = list(entries)
    return [
        position
        for position, entry in enumerate(listed)
        if entry in listed[:position]
    ]
