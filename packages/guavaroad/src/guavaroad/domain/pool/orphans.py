"""Jobs of owners whose link is lost."""

from typing import Final

from guavaroad.domain.pool import ledger, run_book, values

# Runs of an owner whose link is lost go on this long, in seconds: a link that
# was reset is back by then, and they must be over before a client sends the
# job again 1.3 s after its line broke.
ORPHAN_GRACE_S: Final = 0.4


class Orphans:
    """Lets go of the jobs of owners that do not come back.

    Attributes:
        state: What the allocator knows.
        runs: Follows runs.
        due: Owners whose link is lost, and until when their jobs go on.
    """

    def __init__(self, *, state: ledger.Ledger, runs: run_book.RunBook) -> None:
        self.state = state
        self.runs = runs
        self.due: dict[values.InstanceName, float] = {}

    def on_owner_linked(self, owner: values.InstanceName) -> bool:
        """Keep the jobs of an owner whose link is back.

        Returns:
            Whether they are still there.
        """
        self.state.silent_owners.discard(owner)
        return self.due.pop(owner, None) is not None

    def on_owner_lost(
        self, owner: values.InstanceName, now_s: float, *, timed_out: bool
    ) -> None:
        """Let the jobs of an owner go on for a grace, if its link was reset.

        One that has been silent has had its time.
        """
        grace_s = 0 if timed_out else ORPHAN_GRACE_S
        self.due[owner] = now_s + grace_s
        self.state.silent_owners.add(owner)

    def drop(self, now_s: float) -> None:
        """Let go of the jobs of owners that did not come back."""
        for owner, due_s in tuple(self.due.items()):
            if due_s > now_s:
                continue
            self.due.pop(owner)
            lost = [
                job for job in self.state.jobs.values() if job.owner == owner
            ]
            self.state.note('owner_dropped', owner=owner, jobs=len(lost))
            for job in lost:
                self.runs.give_up(job, values.Verdict.WITHDRAWN)
