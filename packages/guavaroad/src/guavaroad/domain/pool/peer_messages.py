"""Messages about the allocation itself: who allocates, and what is shared."""

import msgspec

from guavaroad.domain import names
from guavaroad.domain.pool import messages, values


class Instance(msgspec.Struct, frozen=True, array_like=True):
    """One entry instance.

    Attributes:
        name: Its name.
        address: Where it takes links, `host:port`.
        zone: Availability zone that it is in.
        cores: Processor that it has; larger ones allocate first.
    """

    name: values.InstanceName
    address: str
    zone: names.AvailabilityZone
    cores: float = 1


class Follow(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First message of an allocator on a link.

    Attributes:
        token: Its fencing token.
        allocator: Its name.
        successors: Instances that may take over without the store, in order.
        reserved_token_base: The one at position K may use this token plus
            K + 1.
        instances: Known instances.
        has_declared_jobs: Whether it still has the jobs that the instance
            declared on the link before.
    """

    token: values.Token
    allocator: values.InstanceName
    successors: tuple[values.InstanceName, ...]
    reserved_token_base: values.Token
    instances: tuple[Instance, ...]
    has_declared_jobs: bool


class Reserved(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """More instances may take over without the store.

    Attributes:
        successors: All of them, in order; none changes its place.
    """

    successors: tuple[values.InstanceName, ...]


class AllocatorBeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Heartbeat of the allocator.

    Attributes:
        config_version: Version that it serves; negative for none.
        list_age_ms: Age of its list of workers.
    """

    config_version: int
    list_age_ms: int


class OwnerBeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Heartbeat of an owner.

    Attributes:
        config_version: Version that it serves; negative for none.
    """

    config_version: int


class Superseded(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The instance follows an allocator with a higher token.

    Attributes:
        token: That token.
        allocator: Its holder.
    """

    token: values.Token
    allocator: values.InstanceName


class Retiring(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The allocator stops; the next one may take over at once."""


class SharedConfig(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A configuration that the other side does not have yet.

    Attributes:
        version: Its version.
        body: Its text, as the platform keeps it.
    """

    version: int
    body: bytes


class SharedWorkers(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The list of workers, for one that can't read it, now or later.

    Attributes:
        rows: Ids and texts, as the platform keeps them.
    """

    rows: tuple[tuple[str, bytes], ...]


class SharedDirectory(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Instances that the allocator knows: whoever is next must call them.

    Attributes:
        instances: All of them.
    """

    instances: tuple[Instance, ...]


class Poll(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A candidate asks whether the allocator is heard.

    Attributes:
        token: Token of the allocator that the candidate has lost.
        candidate: Who asks; an instance that has just come is known by this.
    """

    token: values.Token
    candidate: Instance


class PollAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer to a poll.

    Attributes:
        token: Highest token that the instance follows.
        last_message_age_ms: Time since its allocator was heard; negative if it
            follows none.
    """

    token: values.Token
    last_message_age_ms: int


ToInstance = (
    Follow
    | Reserved
    | AllocatorBeat
    | Retiring
    | SharedConfig
    | SharedWorkers
    | SharedDirectory
    | Poll
    | messages.ToOwner
)
ToAllocator = (
    Superseded
    | OwnerBeat
    | SharedConfig
    | SharedWorkers
    | PollAnswer
    | messages.Declare
    | messages.Withdraw
)
