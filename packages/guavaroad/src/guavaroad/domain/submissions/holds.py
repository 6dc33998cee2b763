"""Holds: whether the owner of a submission may start its tasks now."""

import dataclasses
import enum


class HoldState(enum.Enum):
    """What the table may contain about a submission.

    `OPEN`: no other instance may start it.  `UNSENT`: a `queued` record is to
    be written, but no write of it was sent.  `HELD`: a `queued` record may be
    in the table, and the claim is not confirmed.  `MOVED`: another instance
    owns it.
    """

    OPEN = 'open'
    UNSENT = 'unsent'
    HELD = 'held'
    MOVED = 'moved'


@dataclasses.dataclass(slots=True, kw_only=True)
class Hold:
    """Start permission, shared by a submission and the writer of its record.

    Attributes:
        state: What the table may contain.
    """

    state: HoldState = HoldState.OPEN

    def held(self) -> bool:
        """Return whether no task may start now."""
        return self.state in {HoldState.HELD, HoldState.MOVED}

    def release(self) -> bool:
        """Open the hold for a start, unless the submission is held.

        A record that was not sent yet is withdrawn by this.

        Returns:
            Whether a task may start.
        """
        if self.held():
            return False
        self.state = HoldState.OPEN
        return True
