"""Settings of an entry instance, read from YAML and validated."""

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
_ADDRESS_FORMAT: Final = (
    'must be an IP number that others can dial, IPv6 in brackets, and a port'
)

Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError(f'must end with a port from 1 to 65535, not {text!r}')
    try:
        ip = ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError as error:
        raise ValueError(
            f'must be an IP number and a port, not {text!r}'
        ) from error
    bracketed = host.startswith('[')
    if ip.is_unspecified or bracketed != (ip.version == 6):
        raise ValueError(f'{_ADDRESS_FORMAT}, not {text!r}')
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
    """A section whose values must have the exact type."""

    model_config = pydantic.ConfigDict(strict=True)


class Instance(Section):
    """Identity and addresses of this instance.

    Attributes:
        availability_zone: Availability zone of the instance.
        client_address: Address for clients and peers that forward requests.
        peer_address: Address of the peer bus.
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
    """Endpoint of the platform.

    Attributes:
        url: Base URL.
        timeout_s: Time-out of a request.
        list_period_s: Time between two reads of the instance list.
        config_period_s: Time between two reads of the configuration head.
    """

    url: Url
    timeout_s: Seconds = 5
    list_period_s: Seconds = 2
    config_period_s: Seconds = 1


class Token(Section):
    """A bearer token.

    Attributes:
        token: Secret text of the token.
        team: Team of a client; an operator has none.
        operator: Whether the token may read and patch the configuration.
    """

    token: pydantic.SecretStr = pydantic.Field(min_length=8)
    team: document.Name | None = None
    operator: bool = False

    @pydantic.model_validator(mode='after')
    def check_role(self) -> 'Token':
        """Check that the token is for either a team or an operator."""
        if self.operator == (self.team is not None):
            raise ValueError(
                'must have a team or be operator: true, and not both'
            )
        return self


class Limits(Section):
    """Bounds of one instance.

    Attributes:
        body_bytes: Largest request body.
        held_body_bytes: Most bytes of request bodies in memory at once.
        request_timeout_s: Time-out for receiving a whole request.
        connections: Most connections of clients, operators and peers.
        queued_tasks: Most queued tasks.
        queued_bytes: Most payload bytes of queued tasks.
        kept_outcomes: Most ended submissions whose outcome is kept.
        id_lifetime_s: Validity of a submission id.
        default_deadline_s: Deadline of a job without one of its own.
        attempt_timeout_s: Time-out of an attempt at an upstream.
        connections_per_upstream: Most connections of all instances
            to one upstream.
        fleet_size: Number of instances that share that bound.
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
    """Output of the logs.

    Attributes:
        level: Lowest level that is written.
        sink: Standard stream that the logs are written to.
        json_lines: Whether each record is written as a JSON object.
    """

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    sink: Literal['stderr', 'stdout'] = 'stderr'
    json_lines: bool = False


class Tls(Section):
    """Certificate of this instance and trusted certificates.

    Attributes:
        certificate_file: PEM certificate chain of the client port, its own
            certificate first.
        key_file: PEM key of that certificate, without a password.
        ca_file: PEM certificates to verify other instances, the platform and
            the upstreams with; by default those of the system.
    """

    certificate_file: str
    key_file: str
    ca_file: str | None = None

    @pydantic.model_validator(mode='after')
    def check_files(self) -> 'Tls':
        """Check that the files can be used."""
        for section_file in (self.identity(), self.trust()):
            match section_file:
                case tls.BadFile():
                    raise ValueError(
                        f'{section_file.path} {section_file.reason}'
                    )
        return self

    def identity(self) -> tls.Identity | tls.BadFile:
        """Read the certificate and the key."""
        return tls.read_identity(
            pathlib.Path(self.certificate_file), pathlib.Path(self.key_file)
        )

    def trust(self) -> Any:
        """Read the trust root; None means that of the system."""
        if self.ca_file is None:
            return None
        return tls.read_trust(pathlib.Path(self.ca_file))


class Settings(Section):
    """All settings of one instance.

    Attributes:
        instance: Identity and addresses of the instance.
        platform: Endpoint of the platform.
        peers: Peer addresses for the first contact.
        tokens: Accepted bearer tokens.
        limits: Bounds.
        slots: How slots are divided among the instances.
        logs: Output of the logs.
        tls: Certificates; without them the client port uses plain HTTP.
        drain_s: Longest duration of a planned stop.
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
    def check_uniqueness(self) -> 'Settings':
        """Check that no token or peer is repeated."""
        repeated_tokens = _repeated_positions(
            token.token for token in self.tokens
        )
        if repeated_tokens:
            raise ValueError(
                f'tokens.{repeated_tokens[0]}.token: repeats an earlier entry'
            )
        peers = _repeated_positions(self.peers)
        if peers:
            raise ValueError(f'peers.{peers[0]}: repeats an earlier entry')
        return self

    def secrets(self) -> list[str]:
        """Return the texts to redact in every output."""
        return [token.token.get_secret_value() for token in self.tokens]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BadSettings:
    """Settings that are not valid.

    Attributes:
        problems: One sentence per problem, prefixed with the file name.
    """

    problems: tuple[str, ...]


def load_settings(path: pathlib.Path) -> Settings | BadSettings:
    """Read and validate a settings file.

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
    """Validate decoded settings.

    Args:
        source: File name for the problems.
        raw: Decoded YAML.

    Returns:
        The settings, or every problem found.
    """
    try:
        return Settings.model_validate(raw)
    except pydantic.ValidationError as error:
        sentences = settings_problems.sentences(Settings, error)
    return BadSettings(
        problems=tuple(f'{source}: {problem}' for problem in sentences)
    )


def _repeated_positions(entries: Iterable[Any]) -> list[int]:
    """Return the positions of entries that repeat an earlier one."""
    entry_list = list(entries)
    return [
        position
        for position, entry in enumerate(entry_list)
        if entry in entry_list[:position]
    ]
