"""Jobs whose owner's link is lost.

Answers an owner that is cut off, also behind something that accepts its
connections: only a message of the owner shows that it has the link.
"""

from typing import Final

from guavaroad.domain.pool import allocator_state, run_tracker, values

# Grace period for the runs of an owner whose link was reset, in seconds. A
# reset link is re-established within this time, and the runs must be over
# before the client sends the job again, 1.3 s after its connection broke.
ORPHAN_GRACE_S: Final = 0.4

# Time for an owner to answer on a link that is open again, in seconds: a round
# trip and a stall of its event loop.
ANSWER_S: Final = 0.2


class Orphans:
    """Gives up the jobs of owners whose link is not re-established.

    Attributes:
        state: State of the allocator.
        runs: Tracks runs.
        deadlines: When the jobs of an owner whose link is lost are given up.
        awaited: Owners whose link is open again, and that have not answered.
    """

    def __init__(
        self,
        *,
        state: allocator_state.AllocatorState,
        runs: run_tracker.RunTracker,
    ) -> None:
        self.state = state
        self.runs = runs
        self.deadlines: dict[values.InstanceName, float] = {}
        self.awaited: set[values.InstanceName] = set()

    def on_owner_linked(self, owner: values.InstanceName, now_s: float) -> bool:
        """Keep the jobs of an owner for as long as it may take to answer.

        That is granted once, until the owner has answered.

        Args:
            owner: Owner whose link is open again.
            now_s: Current time, in seconds.

        Returns:
            Whether its link was lost and the jobs are still tracked.
        """
        self.state.contacts.on_linked(owner, now_s)
        deadline_s = self.deadlines.get(owner)
        if deadline_s is None:
            return False
        if owner not in self.awaited:
            self.awaited.add(owner)
            self.deadlines[owner] = max(deadline_s, now_s + ANSWER_S)
        return True

    def on_owner_heard(self, owner: values.InstanceName) -> None:
        """Keep the jobs of an owner that has sent a message on its link.

        It follows this allocator, and never one with a lower token than before:
        so no other allocator has its jobs.
        """
        self.state.contacts.on_heard(owner)
        self.keep_jobs(owner)

    def on_owner_beat(self, owner: values.InstanceName, sent_ms: int) -> None:
        """Keep the jobs of an owner that has answered a heartbeat.

        Args:
            owner: The owner.
            sent_ms: When the heartbeat was sent, in milliseconds; negative if
                the owner does not say.
        """
        self.state.contacts.on_beat(owner, sent_ms)
        self.keep_jobs(owner)

    def keep_jobs(self, owner: values.InstanceName) -> None:
        """Forget that the link of an owner was lost."""
        self.state.contacts.lost.discard(owner)
        self.deadlines.pop(owner, None)
        self.awaited.discard(owner)

    def on_owner_lost(
        self, owner: values.InstanceName, now_s: float, *, timed_out: bool
    ) -> None:
        """Schedule the jobs of an owner to be given up.

        A link that is lost before the owner has answered on it changes nothing.

        Args:
            owner: Owner whose link is lost.
            now_s: Current time, in seconds.
            timed_out: Whether the link timed out; its jobs then get no further
                grace period. Jobs of a reset link do.
        """
        grace_s = 0 if timed_out else ORPHAN_GRACE_S
        deadline_s = now_s + grace_s
        earlier_s = self.deadlines.get(owner, deadline_s)
        self.deadlines[owner] = min(earlier_s, deadline_s)
        self.state.contacts.lost.add(owner)

    def drop_expired(self, now_s: float) -> None:
        """Give up the jobs of owners whose deadline has passed."""
        for owner, deadline_s in tuple(self.deadlines.items()):
            if deadline_s > now_s:
                continue
            self.deadlines.pop(owner)
            self.awaited.discard(owner)
            lost = [
                job for job in self.state.jobs.values() if job.owner == owner
            ]
            self.state.log_event('owner_dropped', owner=owner, jobs=len(lost))
            for job in lost:
                self.runs.give_up(job, values.GiveUpReason.WITHDRAWN)
