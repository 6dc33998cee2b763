"""Order of work for clients that send much, in turns of the event loop.

Answers many connections whose bytes or pipelined requests take longer than an
ordinary request may wait.  Work is measured by what causes it, not by a clock:
bytes, callbacks of the parser, requests.
"""

import collections
from typing import Final, Generic, Protocol, TypeVar

# Work is counted in bytes that are parsed; others by their time relative to it.
CALLBACK_WORK: Final = 64
REQUEST_WORK: Final = 2048
# Work for one client when its bytes arrive: a usual request and its answer.
FIRST_WORK: Final = 16_384
# Work for one client in a later turn.
CLIENT_WORK: Final = 16_384
# Work for all waiting clients between two looks at the sockets: a few
# milliseconds.
TURN_WORK: Final = 262_144


class Worker(Protocol):
    """Does work in parts."""

    def work(self, limit: int) -> int:
        """Do work up to a limit; return how much was done."""

    def has_work(self) -> bool:
        """Return whether work is left."""


Client = TypeVar('Client', bound=Worker)


class WorkTurns(Generic[Client]):
    """Clients with work left, which take turns.

    Attributes:
        waiting: The clients, the next one first.
        members: The same clients.
    """

    def __init__(self) -> None:
        self.waiting: collections.deque[Client] = collections.deque()
        self.members: set[Client] = set()

    def add(self, client: Client) -> None:
        """Add a client unless it waits already."""
        if client not in self.members:
            self.members.add(client)
            self.waiting.append(client)

    def run(self) -> bool:
        """Let clients work up to the limit of a turn.

        Returns:
            Whether clients with work are left.
        """
        done = 0
        while self.waiting and done < TURN_WORK:
            client = self.waiting.popleft()
            done += max(client.work(CLIENT_WORK), 1)
            if client.has_work():
                self.waiting.append(client)
            else:
                self.members.discard(client)
        return bool(self.waiting)
