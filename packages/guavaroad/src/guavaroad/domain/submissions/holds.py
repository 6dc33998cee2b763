"""Whether the owner may start the tasks of a submission now."""

import dataclasses
import enum


class HoldState(enum.Enum):
    """What the table may say of a submission.

    `OPEN`: no other instance may start it.  `UNSENT`: a `queued` record is
    wanted, but no write of it was sent.  `HELD`: a `queued` record may be in
    the table and the claim is not known to be.  `MOVED`: another instance
    owns it.
    """

    OPEN = 'open'
    UNSENT = 'unsent'
    HELD = 'held'
    MOVED = 'moved'


@dataclasses.dataclass(slots=True, kw_only=True)
class Hold:
    """Shared by a submission and the writer of its record."""

    state: HoldState = HoldState.OPEN

    def held(self) -> bool:
        """Return whether no task may start now."""
        return self.state in {HoldState.HELD, HoldState.MOVED}

    def release(self) -> bool:
        """Ask to start a task; an unsent record is withdrawn.

        Returns:
            Whether the task may start.
        """
        if self.held():
            return False
        self.state = HoldState.OPEN
        return True
