"""Settings of one instance, read from YAML and checked before use."""

import dataclasses
import enum
import ipaddress
import pathlib
from typing import Annotated, Any

import pydantic
import yaml

from guavaroad.domain.configuration import document

_QUEUED_BYTES = 64 * 1024 * 1024

Port = Annotated[int, pydantic.Field(ge=1, le=65_535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as broken:
        raise ValueError('must be an IP number and a port') from broken
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError('must end with a port from 1 to 65535')
    return text


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class Instance(document.Strict):
    """Who and where this instance is.

    Attributes:
        availability_zone: Zone it serves.
        client_address: Where clients and forwarding peers reach it.
        peer_address: Where peers dial it.
    """

    availability_zone: document.Name
    client_address: Address
    peer_address: Address


class Platform(document.Strict):
    """The platform's endpoint.

    Attributes:
        url: Base URL.
        timeout_s: Longest wait for an answer.
        list_period_s: Between two reads of the instance list.
        config_period_s: Between two reads of the configuration head.
    """

    url: Annotated[str, pydantic.Field(pattern='^https?://')]
    timeout_s: Seconds = 5
    list_period_s: Seconds = 2
    config_period_s: Seconds = 1


class Token(document.Strict):
    """A bearer token.

    Attributes:
        token: The secret.
        team: Team of a client; an operator has none.
        operator: Whether it may read and patch the configuration.
    """

    token: pydantic.SecretStr = pydantic.Field(min_length=8)
    team: document.Name | None = None
    operator: bool = False


class Limits(document.Strict):
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


class SlotMode(enum.Enum):
    """How the slots of upstreams are divided among the instances."""

    STATIC = 'static'
    TWO_CHOICES = 'two_choices'
    LEASES_UNTIL_IDLE = 'leases_until_idle'
    LEASES = 'leases'


class Slots(document.Strict):
    """How slots are leased.

    Attributes:
        mode: Way of dividing them.
        tick_ms: Changes are collected this long before they are told.
        lease_s: Holdings last this long without a word of the allocator.
        linger_s: Slots that nobody used for so long go back.
        fallback_s: Wait for an allocator before an equal share is used.
        stock: Part of an equal share that is kept though idle.
        nearest_zones: Other zones to ask for slots, the nearest first.
    """

    mode: SlotMode = SlotMode.LEASES
    tick_ms: Annotated[float, pydantic.Field(ge=0, le=1000)] = 2
    lease_s: Seconds = 3
    linger_s: Seconds = 0.1
    fallback_s: Seconds = 1
    stock: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.25
    nearest_zones: tuple[document.Name, ...] = ()


class Logs(document.Strict):
    """Where logs go.

    Attributes:
        level: Least level written.
        json_lines: Whether each record is a JSON object.
    """

    level: Annotated[
        str, pydantic.Field(pattern='^(DEBUG|INFO|WARNING|ERROR)$')
    ] = 'INFO'
    json_lines: bool = False


class Settings(document.Strict):
    """All settings of one instance.

    Attributes:
        instance: Who and where it is.
        platform: The platform's endpoint.
        peers: Peer addresses to begin with.
        tokens: Bearer tokens.
        limits: Bounds.
        slots: How slots are leased.
        logs: Where logs go.
        drain_s: Longest planned stop.
    """

    instance: Instance
    platform: Platform
    peers: tuple[Address, ...] = ()
    tokens: Annotated[tuple[Token, ...], pydantic.Field(min_length=1)]
    limits: Limits = Limits()
    slots: Slots = Slots()
    logs: Logs = Logs()
    drain_s: Seconds = 30


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
    try:
        raw = yaml.safe_load(path.read_text())
    except OSError as broken:
        return BadSettings(problems=(f'{path}: {broken.strerror}',))
    except (yaml.YAMLError, UnicodeDecodeError) as broken:
        return BadSettings(problems=(f'{path}: not YAML: {broken}',))
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
        found = document.problems_of(broken)
        return BadSettings(
            problems=tuple(f'{source}: {problem}' for problem in found)
        )
