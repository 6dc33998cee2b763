"""The platform's list of workers, which lags and may miss some for a while."""

import dataclasses
from collections.abc import Iterable

from guavaroad.domain.pool import (
    actions,
    leases,
    ledger,
    run_lists,
    worker,
)


class Roster:
    """Keeps the known workers as the list has them.

    Attributes:
        state: What the allocator knows.
        lists: Forgets what a worker ran before it started again.
    """

    def __init__(
        self, *, state: ledger.Ledger, lists: run_lists.RunLists
    ) -> None:
        self.state = state
        self.lists = lists

    def take(self, listed: Iterable[worker.Facts], now_s: float) -> None:
        """Take the platform's list of workers.

        Args:
            listed: Every worker in it.
            now_s: Time.
        """
        seen = set()
        for facts in listed:
            seen.add(facts.worker_id)
            known = self.state.workers.get(facts.worker_id)
            if known is None:
                self.add(facts)
            else:
                self.update(known, facts, now_s)
        for worker_id, one in self.state.workers.items():
            if worker_id not in seen and one.unlisted_s is None:
                one.unlisted_s = now_s

    def add(self, facts: worker.Facts) -> None:
        """Begin to look at a worker."""
        inherited_s = self.state.taken_over_s + leases.INHERITED_LEASE_S
        one = worker.Worker(facts=facts, lease=leases.Lease(ends_s=inherited_s))
        one.resize(facts)
        self.state.workers[facts.worker_id] = one
        self.state.refile(one)
        self.state.act(actions.WorkerAdded(worker_id=facts.worker_id))

    def update(
        self, known: worker.Worker, facts: worker.Facts, now_s: float
    ) -> None:
        """Take new facts of a known worker."""
        known.unlisted_s = None
        old = known.facts
        born_ms = facts.started_ms or old.started_ms
        if old.started_ms and facts.started_ms > old.started_ms:
            self.lists.life_changed(known, facts.started_ms, now_s)
            known.readable = False
        if facts.draining and not old.draining:
            self.state.note('worker_draining', worker=facts.worker_id)
        if facts == old:
            return
        moved = facts.pool != old.pool
        if moved:
            self.state.pool(old.pool).room.drop(facts.worker_id)
        known.resize(
            dataclasses.replace(facts, started_ms=max(born_ms, old.started_ms))
        )
        self.state.refile(known)
