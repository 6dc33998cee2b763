"""Decisions about clients that send more, or more slowly, than is allowed.

Answers many such clients at once: heads, trailers and blank lines without end,
bodies that stop short, unread answers, and connections that carry nothing.
What all of them hold is bounded for the process, and so is the work for them
in one turn of the event loop.  Nothing here reads a clock or a socket.
"""

import dataclasses
import enum
import heapq
from collections.abc import Hashable, Iterable
from typing import Final, Generic, Protocol, TypeVar

BYTES_PER_MB: Final = 1_000_000
# Part of the memory limit that unfinished requests and unread answers may hold.
# The rest is for jobs, links and the interpreter itself.
HELD_SHARE: Final = 1 / 8
# Part of that which is left after the largest holders were refused, so that
# they are not sought again for every packet.
REFUSED_TO: Final = 7 / 8
# Descriptors of the limit that are not for sockets.
FILE_DESCRIPTORS: Final = 200
# Part of the sockets for clients; the rest is for links, workers and the store.
CLIENT_SHARE: Final = 3 / 4
MIN_CONNECTIONS: Final = 16
# Part of the connections that are closed together when all are in use.
CLOSED_SHARE: Final = 0.02
# A line of a header takes at least four bytes for each byte of its name.
RAW_HEAD_FACTOR: Final = 4
# Blank lines before a request: some clients send one after a body.
BLANK_BYTES: Final = 1024
# Slowest body, in bytes per second. At this rate the largest body takes longer
# than any client waits for its answer.
MIN_BODY_RATE: Final = 1024
# Memory of a stored header besides its text, in bytes.
HEADER_BYTES: Final = 200


Client = TypeVar('Client', bound=Hashable)


class Reason(enum.Enum):
    """Why a client is refused or disconnected; values are names of events."""

    HEAD = 'client_over_head'
    BODY = 'client_over_body'
    MALFORMED = 'client_malformed'
    BLANK_LINES = 'client_blank_lines'
    PIPELINE = 'client_over_pipeline'
    HELD_BYTES = 'client_over_memory'
    CONNECTIONS = 'client_over_connections'
    RECEIVE_TIME = 'client_too_slow'
    UNREAD_ANSWERS = 'client_not_reading'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProcessLimits:
    """Limits on all connections of clients of a process.

    Attributes:
        held_bytes: Most bytes that unfinished requests and unread answers hold.
        connections: Most connections.
    """

    held_bytes: int = 67_108_864
    connections: int = 4000

    def held_limit(self, head_bytes: int, body_bytes: int) -> int:
        """Return the bound on held bytes, in which any two requests fit.

        Args:
            head_bytes: Largest head of a request.
            body_bytes: Largest body.
        """
        single = raw_head_limit(head_bytes) + body_bytes
        return max(self.held_bytes, 2 * single)

    def close_count(self) -> int:
        """Return how many connections are closed when all are in use."""
        return max(int(self.connections * CLOSED_SHARE), 1)


class MachineLimits(Protocol):
    """Limits of the machine for a process.

    Attributes:
        memory_mb: Memory limit of the process, in MB.
        max_fds: Limit of its descriptors.
    """

    memory_mb: float
    max_fds: int


def limits_of(machine: MachineLimits) -> ProcessLimits:
    """Return the limits on all connections of clients of a process.

    Args:
        machine: Limits of its machine.
    """
    sockets = machine.max_fds - FILE_DESCRIPTORS
    return ProcessLimits(
        held_bytes=int(machine.memory_mb * BYTES_PER_MB * HELD_SHARE),
        connections=max(int(sockets * CLIENT_SHARE), MIN_CONNECTIONS),
    )


def raw_head_limit(head_bytes: int) -> int:
    """Return the bound on the bytes received for a head, with its separators.

    Args:
        head_bytes: Largest target, names and values together.
    """
    return RAW_HEAD_FACTOR * head_bytes


def receive_limit_s(timeout_s: float, body_bytes: int) -> float:
    """Return the longest time for a request of which so much has arrived.

    Args:
        timeout_s: Time-out of a head, in seconds.
        body_bytes: Bytes of the body that have arrived.
    """
    return timeout_s + body_bytes / MIN_BODY_RATE


class HeldBytes(Generic[Client]):
    """What each client holds.

    Attributes:
        by_client: Bytes by client; clients that hold nothing are left out.
        total: Bytes of all clients.
    """

    def __init__(self) -> None:
        self.by_client: dict[Client, int] = {}
        self.total = 0

    def set_held(self, client: Client, size: int) -> None:
        """Record what a client holds now, in bytes."""
        self.total += size - self.by_client.pop(client, 0)
        if size:
            self.by_client[client] = size

    def largest(self, limit: int) -> list[Client]:
        """Return the largest holders to refuse; none within the limit.

        Args:
            limit: Bound on the bytes of all clients.
        """
        if self.total <= limit:
            return []
        refused = []
        left = self.total
        order = [
            (-size, index) for index, size in enumerate(self.by_client.values())
        ]
        heapq.heapify(order)
        clients = list(self.by_client)
        while order and left > limit * REFUSED_TO:
            size, index = heapq.heappop(order)
            left += size
            refused.append(clients[index])
        return refused


class Activity(enum.IntEnum):
    """What a connection is in use for; those first are closed first."""

    IDLE = 0
    RECEIVING = 1
    HANDLING = 2
    CLOSING = 3


def first_to_close(
    clients: Iterable[tuple[Activity, float, Client]], count: int
) -> list[Client]:
    """Return the connections to close when all are in use.

    The longest idle ones come first, then those that have been receiving a
    request for longest.  A request that is handled is not broken off.

    Args:
        clients: Activity of each connection, since when in seconds, and itself.
        count: Number to close; fewer are returned if there are fewer.
    """
    closable = (entry for entry in clients if entry[0] < Activity.HANDLING)
    chosen = heapq.nsmallest(count, closable, key=lambda entry: entry[:2])
    return [client for _, _, client in chosen]
