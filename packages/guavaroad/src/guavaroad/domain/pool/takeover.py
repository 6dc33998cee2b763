"""What a new allocator clears up after the one before."""

from typing import Final

from guavaroad.domain.pool import actions, leases, ledger, worker

# How long ends are kept whose job nobody has declared yet, in seconds: owners
# declare within a second of a takeover.
EARLY_END_KEPT_S: Final = 3
# Time in which listed runs of unknown jobs are left alone, in seconds: the
# owners that can be reached have declared by then. No lease is extended on
# their worker meanwhile, as the allocator before may count on its end.
STRANGER_GRACE_S: Final = 0.2
# Runs of unknown jobs are stopped again after this many seconds, if a list
# still shows them.
CLEAR_PERIOD_S: Final = 0.3


class Takeover:
    """Stops runs that no owner claims, and forgets what is old.

    Attributes:
        state: What the allocator knows.
    """

    def __init__(self, *, state: ledger.Ledger) -> None:
        self.state = state

    def settle(self, now_s: float) -> None:
        """Stop runs that no owner has claimed, and forget old ends."""
        for one in self.state.workers.values():
            since_s = one.strange_s
            if since_s is not None and now_s - since_s > STRANGER_GRACE_S:
                self.clear(one, now_s)
        for name, early in tuple(self.state.early_ends.items()):
            if now_s - early.seen_s > EARLY_END_KEPT_S:
                self.state.early_ends.pop(name)
        self.release_unlisted(now_s)
        self.state.settle_doubts(now_s)

    def clear(self, one: worker.Worker, now_s: float) -> None:
        """Stop the runs of a worker that belong to no job.

        It takes nothing new until a list shows that they are over.
        """
        if now_s - one.cleared_s < CLEAR_PERIOD_S:
            return
        one.cleared_s = now_s
        self.state.note(
            'strangers_stopped',
            worker=one.facts.worker_id,
            tasks=list(one.unclaimed_runs),
        )
        for name, number in one.unclaimed_runs.items():
            self.state.act(
                actions.StopRun(
                    worker_id=one.facts.worker_id, task=name, number=number
                )
            )

    def release_unlisted(self, now_s: float) -> None:
        """Let tasks wait whose worker never came into the list."""
        still = []
        for since_s, task in self.state.unlisted_runs:
            if now_s - since_s > leases.INHERITED_LEASE_S:
                self.state.wait_again(task, now_s)
            else:
                still.append((since_s, task))
        self.state.unlisted_runs = still
