"""Looks at each worker, one after another, without a pause while it answers.

A look holds what runs on the worker, learns of ends as they come, and takes
note of those that were read.
"""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final

from guavaroad.domain.pool import allocator, outcomes, values
from guavaroad.ports import pool, timers

# A worker waits this long for an end before it answers, in milliseconds; half
# a lease, so that one lost answer does not end it.
WAIT_MS: Final = 400
# Pause between looks at a worker that lists runs of unknown jobs, in seconds:
# such a look may not wait, and a stop takes 50 ms.
STRANGERS_S: Final = 0.05
# Pause after a look that failed, in seconds.
RETRY_S: Final = 0.15


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Watch:
    """The looks at one worker.

    Attributes:
        worker_id: Which worker.
        turn: Counts the looks; a later one replaces those before.
        fresh: Whether the next look starts anew: it takes note of no end, as
            the worker may have begun another life.
        ended: Whether it is no longer looked at.
    """

    worker_id: values.WorkerId
    turn: int = 0
    fresh: bool = True
    ended: bool = False


class Looks:
    """Keeps one look at each worker going."""

    def __init__(
        self,
        *,
        machine: allocator.Allocator,
        workers: pool.WorkersPort,
        timer_service: timers.TimerService,
        on_change: Callable[[], object],
        on_fenced: Callable[[], object],
    ) -> None:
        self.machine = machine
        self.workers = workers
        self.timers = timer_service
        self.on_change = on_change
        self.on_fenced = on_fenced
        self.watches: dict[values.WorkerId, Watch] = {}

    def begin(self, worker_id: values.WorkerId) -> None:
        """Begin to look at a worker."""
        watch = Watch(worker_id=worker_id)
        self.watches[worker_id] = watch
        known = self.machine.state.workers
        self.workers.open(known[worker_id].facts)
        self.look(watch)

    def end(self, worker_id: values.WorkerId) -> None:
        """Look at a worker no longer."""
        watch = self.watches.pop(worker_id, None)
        if watch is not None:
            watch.ended = True
            self.workers.close(worker_id)

    def end_all(self) -> None:
        """Look at no worker any longer."""
        for worker_id in tuple(self.watches):
            self.end(worker_id)

    def look(self, watch: Watch) -> None:
        """Send the next look at a worker."""
        one = self.machine.state.workers.get(watch.worker_id)
        if watch.ended or one is None:
            return
        sent_s = self.timers.now()
        steady = not watch.fresh and one.lease.has_clock()
        extends = steady and one.may_extend_lease()
        look = pool.StatusPoll(
            token=self.machine.state.token,
            last_end=one.last_end if steady else 0,
            until_ms=one.lease.extend(sent_s) if extends else None,
            wait_ms=WAIT_MS if extends else 0,
        )
        watch.turn += 1
        self.workers.poll_status(
            watch.worker_id,
            look,
            functools.partial(self.answered, watch, sent_s, watch.turn),
        )

    def look_now(self, worker_id: values.WorkerId) -> None:
        """Look at a worker beside the look that waits there."""
        watch = self.watches.get(worker_id)
        one = self.machine.state.workers.get(worker_id)
        if watch is None or one is None or watch.fresh:
            return
        look = pool.StatusPoll(
            token=self.machine.state.token,
            last_end=one.last_end,
            until_ms=None,
            wait_ms=0,
        )
        self.workers.poll_status(
            worker_id,
            look,
            functools.partial(self.seen, watch, self.timers.now()),
        )

    def seen(
        self,
        watch: Watch,
        sent_s: float,
        outcome: outcomes.RunReport | outcomes.Refused | outcomes.NoAnswer,
    ) -> None:
        """Take the outcome of a look beside the waiting one."""
        has_ends = self.seen_late(watch, sent_s, outcome)
        if has_ends and not watch.fresh:
            # The waiting look had these ends to tell; its answer is lost.
            self.look(watch)

    def seen_late(
        self,
        watch: Watch,
        sent_s: float,
        outcome: outcomes.RunReport | outcomes.Refused | outcomes.NoAnswer,
    ) -> bool:
        """Take the outcome of a look that is not the waiting one.

        Returns:
            Whether it lists ends.
        """
        if watch.ended or not isinstance(outcome, outcomes.RunReport):
            return False
        self.take(watch, sent_s, outcome)
        return bool(outcome.ended)

    def take(
        self, watch: Watch, sent_s: float, report: outcomes.RunReport
    ) -> None:
        """Take a list."""
        self.machine.reports.record_report(
            worker_id=watch.worker_id,
            report=report,
            sent_s=sent_s,
            now_s=self.timers.now(),
        )
        self.on_change()

    def answered(
        self,
        watch: Watch,
        sent_s: float,
        turn: int,
        outcome: outcomes.RunReport | outcomes.Refused | outcomes.NoAnswer,
    ) -> None:
        """Take the outcome of a look, and send the next."""
        if turn != watch.turn:
            self.seen_late(watch, sent_s, outcome)
            return
        if watch.ended:
            return
        match outcome:
            case outcomes.RunReport():
                watch.fresh = False
                self.take(watch, sent_s, outcome)
                self.go_on(watch)
            case outcomes.Refused(reason=outcomes.Refusal.FENCED):
                self.on_fenced()
            case _:
                self.failed(watch, outcome)

    def go_on(self, watch: Watch) -> None:
        """Look again: at once, or after a pause if the look can't wait."""
        one = self.machine.state.workers.get(watch.worker_id)
        if one is not None and one.unclaimed_runs:
            self.timers.call_after(STRANGERS_S, lambda: self.look(watch))
        else:
            self.look(watch)

    def failed(
        self,
        watch: Watch,
        outcome: outcomes.Refused | outcomes.NoAnswer,
    ) -> None:
        """Keep new work away from a worker that did not answer."""
        watch.fresh = True
        detail = (
            outcome.reason.value
            if isinstance(outcome, outcomes.Refused)
            else outcome.detail
        )
        self.machine.reports.record_poll_failure(
            watch.worker_id, detail, self.timers.now()
        )
        self.on_change()
        self.timers.call_after(RETRY_S, lambda: self.look(watch))
