"""Messages between instances about the allocator and the shared state."""

import msgspec

from guavaroad.domain import names
from guavaroad.domain.pool import (
    agent_messages,
    evacuations,
    messages,
    values,
)


class Instance(msgspec.Struct, frozen=True, array_like=True):
    """One instance.

    Attributes:
        name: Name of the instance.
        address: Address at which it accepts links, `host:port`.
        zone: Availability zone that it is in.
        cores: Number of cores; instances with more cores are preferred as
            allocator.
    """

    name: values.InstanceName
    address: str
    zone: names.AvailabilityZone
    cores: float = 1


class Follow(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First message of an allocator on a link.

    Attributes:
        token: Fencing token of the allocator.
        allocator: Name of the allocator.
        successors: Instances that may take over without the store, in order.
        reserved_token_base: Token before the first reserved one. The successor
            at index K may use this token plus K + 1.
        instances: Instances that the allocator tracks.
        has_declared_jobs: Whether the allocator still has the jobs that the
            instance declared on the previous link.
        agent_version: Version of the messages to agents that the allocator
            uses; 0 for a build without agents.
        owners_launch: Whether the owners of jobs send the start orders.
    """

    token: values.Token
    allocator: values.InstanceName
    successors: tuple[values.InstanceName, ...]
    reserved_token_base: values.Token
    instances: tuple[Instance, ...]
    has_declared_jobs: bool
    agent_version: int = 0
    owners_launch: bool = False


class Reserved(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """More instances may take over without the store.

    Attributes:
        successors: All successors in order; existing ones keep their index.
    """

    successors: tuple[values.InstanceName, ...]


class AllocatorBeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Heartbeat of the allocator.

    Attributes:
        config_version: Configuration version that it serves; negative for
            none.
        list_age_ms: Age of its list of workers, in milliseconds.
        evacuated: Evacuated availability zones.
        sent_ms: When it was sent, on the allocator's clock, in milliseconds;
            negative if sent by an older build.
    """

    config_version: int
    list_age_ms: int
    evacuated: evacuations.Evacuations = evacuations.NO_EVACUATIONS
    sent_ms: int = -1


class OwnerBeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer of an owner to a heartbeat.

    Attributes:
        config_version: Configuration version that it serves; negative for
            none.
        evacuated: Evacuated availability zones.
        answered_ms: `sent_ms` of the heartbeat; negative if sent by an older
            build.
    """

    config_version: int
    evacuated: evacuations.Evacuations = evacuations.NO_EVACUATIONS
    answered_ms: int = -1


class FollowerState(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First message of a follower to an allocator that uses agents.

    Attributes:
        agent_version: Version of the messages to agents that it understands.
        directory_digest: Digest of its directory.
        worker_list_digest: Digest of the worker list that it was last sent.
        evacuated: Evacuated availability zones.
    """

    agent_version: int
    directory_digest: int
    worker_list_digest: int
    evacuated: evacuations.Evacuations = evacuations.NO_EVACUATIONS


class Superseded(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The instance follows an allocator with a higher token.

    Attributes:
        token: Token of that allocator.
        allocator: Name of that allocator.
    """

    token: values.Token
    allocator: values.InstanceName


class Retiring(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The allocator stops; a successor may take over at once."""


class SharedConfig(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A configuration that the peer does not have yet.

    Attributes:
        version: Version of the configuration.
        body: Its text, as stored by the platform.
    """

    version: int
    body: bytes


class SharedWorkers(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The list of workers, for a peer that can't read it now or later.

    Attributes:
        rows: Ids and texts, as stored by the platform.
    """

    rows: tuple[tuple[str, bytes], ...]


class WorkerRowChanges(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Changes of the list of workers, for an instance with a reserved token.

    Attributes:
        rows: Ids and texts of new and changed rows, as stored by the platform.
        removed: Ids of removed rows.
    """

    rows: tuple[tuple[str, bytes], ...]
    removed: tuple[str, ...]


class SharedDirectory(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Instances that the allocator tracks; the next allocator dials them.

    Attributes:
        instances: All tracked instances.
    """

    instances: tuple[Instance, ...]


class Poll(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Election poll: a candidate asks whether the allocator is alive.

    Attributes:
        token: Token of the allocator that the candidate has lost.
        candidate: Instance that asks. The receiver adds it to its directory,
            which may lack an instance that has just started.
    """

    token: values.Token
    candidate: Instance


class PollAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer to an election poll.

    Attributes:
        token: Highest token that the instance has followed.
        last_message_age_ms: Time since the last message of its allocator, in
            milliseconds; negative if it follows none.
    """

    token: values.Token
    last_message_age_ms: int


ToInstance = (
    Follow
    | agent_messages.LaunchMode
    | Reserved
    | AllocatorBeat
    | Retiring
    | SharedConfig
    | SharedWorkers
    | WorkerRowChanges
    | SharedDirectory
    | Poll
    | messages.ToOwner
    | agent_messages.ToAgent
    | agent_messages.LaunchRuns
    | agent_messages.StartRuns
)
ToAllocator = (
    Superseded
    | OwnerBeat
    | FollowerState
    | SharedConfig
    | SharedWorkers
    | PollAnswer
    | messages.Declare
    | messages.Withdraw
    | agent_messages.FromAgent
    | agent_messages.NotLaunched
    | agent_messages.StartsReceived
)
