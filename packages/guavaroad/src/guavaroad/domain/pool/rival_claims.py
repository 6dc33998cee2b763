"""Claims of the allocator's token by instances that have not connected yet.

Answers a claim whose instance has died or restarted since, for example because
all instances have lost power: its row stays in the store, and must not delay
the next allocator for as long as a rival may take to connect.
"""

from typing import Final

from guavaroad.domain.pool import election, peer_messages, values

# Time for a rival that has claimed the token to connect, in seconds. A rival
# that died after its claim leaves its row in the store.
RIVAL_TIMEOUT_S: Final = 0.5


class RivalClaims:
    """When the claims of other instances were first seen.

    Attributes:
        first_seen_s: Time at which the row with a token was first seen, in
            seconds.
    """

    def __init__(self) -> None:
        self.first_seen_s: dict[values.Token, float] = {}

    def record(self, row: election.AllocatorRow, now_s: float) -> None:
        """Record a row as read from the store; forget others.

        Args:
            row: The allocator's row.
            now_s: Current time, in seconds.
        """
        seen_s = self.first_seen_s.get(row.token, now_s)
        self.first_seen_s = {row.token: seen_s}

    def is_over(
        self,
        row: election.AllocatorRow,
        *,
        polled_s: float,
        answer: peer_messages.PollAnswer | None,
        now_s: float,
    ) -> bool:
        """Return whether the rival that a row names will not connect.

        An instance that allocates follows itself. So a rival that was polled
        after its row was seen, and follows none, has restarted since its claim.

        Args:
            row: The allocator's row, which was recorded.
            polled_s: Time at which the election poll began, in seconds.
            answer: Answer of the rival to the poll, if there is one.
            now_s: Current time, in seconds.
        """
        seen_s = self.first_seen_s[row.token]
        has_restarted = (
            seen_s < polled_s
            and answer is not None
            and answer.token == election.NO_TERM.token
        )
        return has_restarted or now_s - seen_s >= RIVAL_TIMEOUT_S
