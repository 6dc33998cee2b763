"""Polls the status of each worker continuously.

A poll extends the worker's lease, waits at the worker until a run ends, returns
the report of its runs, and acknowledges the ends that were processed before.
"""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final

from guavaroad.domain.pool import allocator, outcomes, values
from guavaroad.ports import pool, timers
from guavaroad.services.pool import agent_calls

# Time that a worker waits for a run to end before it answers, in milliseconds.
# Half of a lease, so that one lost answer does not end the lease.
POLL_WAIT_MS: Final = 400
# Interval between polls that may not extend the lease of a worker, in seconds.
# Such polls do not wait at the worker, and a stop takes about 50 ms.
NOT_EXTENDED_INTERVAL_S: Final = 0.05
# Interval after a poll that a worker has answered at once without an end,
# although it had to wait for one, in seconds. Polls would follow each other
# without a pause otherwise.
EARLY_ANSWER_INTERVAL_S: Final = 0.03
# Range of the delay after a failed poll, in seconds. Polls that failed at once,
# as those across a partition do, are spread, so that one of them soon shows
# that the path works again.
RETRY_DELAY_RANGE_S: Final = (0.05, 0.25)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PollState:
    """State of the polls of one worker.

    Attributes:
        worker_id: Id of the worker.
        sequence: Number of the last poll; answers to earlier polls do not
            trigger the next one.
        is_reset: Whether the next poll is the first of a sequence. It
            acknowledges no ends, as the worker may have restarted.
        stopped: Whether the worker is no longer polled.
        waits: Whether the worker waits for an end before it answers the last
            poll.
    """

    worker_id: values.WorkerId
    sequence: int = 0
    is_reset: bool = True
    stopped: bool = False
    waits: bool = False


class StatusPoller:
    """Keeps one status poll of each worker in progress."""

    def __init__(
        self,
        *,
        machine: allocator.Allocator,
        workers: agent_calls.AgentCalls,
        timer_service: timers.TimerService,
        on_change: Callable[[], object],
        on_fenced: Callable[[], object],
    ) -> None:
        self.machine = machine
        self.workers = workers
        self.timers = timer_service
        self.on_change = on_change
        self.on_fenced = on_fenced
        self.poll_states: dict[values.WorkerId, PollState] = {}

    def add_worker(self, worker_id: values.WorkerId) -> None:
        """Start to poll a worker."""
        poll_state = PollState(worker_id=worker_id)
        self.poll_states[worker_id] = poll_state
        workers = self.machine.state.workers
        self.workers.open(workers[worker_id].worker_info)
        self.send_poll(poll_state)

    def move_worker(self, worker_id: values.WorkerId) -> None:
        """Poll a worker at its present address."""
        worker = self.machine.state.workers.get(worker_id)
        if worker_id in self.poll_states and worker is not None:
            self.workers.open(worker.worker_info)

    def remove_worker(self, worker_id: values.WorkerId) -> None:
        """Stop polling a worker."""
        poll_state = self.poll_states.pop(worker_id, None)
        if poll_state is not None:
            poll_state.stopped = True
            self.workers.close(worker_id)

    def remove_all(self) -> None:
        """Stop polling every worker."""
        for worker_id in tuple(self.poll_states):
            self.remove_worker(worker_id)

    def send_poll(self, poll_state: PollState) -> None:
        """Send the next poll to a worker."""
        worker = self.machine.state.workers.get(poll_state.worker_id)
        if poll_state.stopped or worker is None:
            return
        sent_s = self.timers.now()
        acknowledges = not poll_state.is_reset and worker.lease.has_clock()
        extends = acknowledges and worker.may_extend_lease(sent_s)
        poll = pool.StatusPoll(
            token=self.machine.state.token,
            last_end_position=worker.last_end_position if acknowledges else 0,
            until_ms=worker.extend_lease(sent_s) if extends else None,
            wait_ms=POLL_WAIT_MS if extends else 0,
            started_ms=(
                worker.worker_info.started_ms
                if acknowledges
                else values.ANY_INCARNATION
            ),
        )
        poll_state.waits = extends
        poll_state.sequence += 1
        self.workers.poll_status(
            poll_state.worker_id,
            poll,
            functools.partial(
                self.on_outcome, poll_state, sent_s, poll_state.sequence
            ),
        )

    def poll_now(self, worker_id: values.WorkerId) -> None:
        """Send an extra poll that does not wait, beside the waiting one."""
        poll_state = self.poll_states.get(worker_id)
        worker = self.machine.state.workers.get(worker_id)
        if poll_state is None or worker is None or poll_state.is_reset:
            return
        poll = pool.StatusPoll(
            token=self.machine.state.token,
            last_end_position=worker.last_end_position,
            until_ms=None,
            wait_ms=0,
            started_ms=worker.worker_info.started_ms,
        )
        self.workers.poll_status(
            worker_id,
            poll,
            functools.partial(
                self.on_extra_outcome, poll_state, self.timers.now()
            ),
        )

    def on_extra_outcome(
        self,
        poll_state: PollState,
        sent_s: float,
        outcome: outcomes.RunReport | outcomes.Refused | outcomes.NoAnswer,
    ) -> None:
        """Process the outcome of an extra poll."""
        if isinstance(outcome, outcomes.RunReport):
            answer_s = self.timers.now() - sent_s
            self.machine.reports.answer_times.record(answer_s)
        has_ends = self.record_if_report(poll_state, sent_s, outcome)
        if has_ends and not poll_state.is_reset:
            # The waiting poll should have returned these ends: its answer was
            # lost.
            self.send_poll(poll_state)

    def record_if_report(
        self,
        poll_state: PollState,
        sent_s: float,
        outcome: outcomes.RunReport | outcomes.Refused | outcomes.NoAnswer,
    ) -> bool:
        """Record the outcome of a poll that is not the waiting one.

        Returns:
            Whether it is a report with ended runs.
        """
        if poll_state.stopped or not isinstance(outcome, outcomes.RunReport):
            return False
        self.record_report(poll_state, sent_s, outcome)
        return bool(outcome.ended)

    def record_report(
        self,
        poll_state: PollState,
        sent_s: float,
        report: outcomes.RunReport,
    ) -> None:
        """Pass a worker's report to the allocator."""
        self.machine.reports.record_report(
            worker_id=poll_state.worker_id,
            report=report,
            sent_s=sent_s,
            now_s=self.timers.now(),
        )
        self.on_change()

    def on_outcome(
        self,
        poll_state: PollState,
        sent_s: float,
        sequence: int,
        outcome: outcomes.RunReport | outcomes.Refused | outcomes.NoAnswer,
    ) -> None:
        """Process the outcome of a poll, and send the next one."""
        if sequence != poll_state.sequence:
            self.record_if_report(poll_state, sent_s, outcome)
            return
        if poll_state.stopped:
            return
        match outcome:
            case outcomes.RunReport():
                poll_state.is_reset = False
                self.record_report(poll_state, sent_s, outcome)
                is_early = poll_state.waits and not outcome.ended
                is_early &= self.timers.now() - sent_s < EARLY_ANSWER_INTERVAL_S
                self.schedule_next(poll_state, is_early=is_early)
            case outcomes.Refused(reason=outcomes.Refusal.FENCED):
                self.on_fenced()
            case outcomes.NoAnswer(is_agent_lost=True):
                poll_state.is_reset = True
                self.retry(poll_state)
            case _:
                self.record_failure(poll_state, outcome)

    def schedule_next(self, poll_state: PollState, *, is_early: bool) -> None:
        """Poll again, after a delay if the worker would answer at once.

        Args:
            poll_state: State of the polls of the worker.
            is_early: Whether it has answered at once although it had to wait.
        """
        worker = self.machine.state.workers.get(poll_state.worker_id)
        delay_s = EARLY_ANSWER_INTERVAL_S if is_early else 0
        now_s = self.timers.now()
        if worker is not None and not worker.may_extend_lease(now_s):
            delay_s = NOT_EXTENDED_INTERVAL_S
        if delay_s:
            self.timers.call_after(delay_s, lambda: self.send_poll(poll_state))
        else:
            self.send_poll(poll_state)

    def record_failure(
        self,
        poll_state: PollState,
        outcome: outcomes.Refused | outcomes.NoAnswer,
    ) -> None:
        """Report a failed poll to the allocator, and retry after a delay."""
        poll_state.is_reset = True
        detail = (
            outcome.reason.value
            if isinstance(outcome, outcomes.Refused)
            else outcome.detail
        )
        self.machine.reports.record_poll_failure(
            poll_state.worker_id, detail, self.timers.now()
        )
        self.on_change()
        self.retry(poll_state)

    def retry(self, poll_state: PollState) -> None:
        """Poll again after a delay."""
        delay_s = self.machine.state.random.uniform(*RETRY_DELAY_RANGE_S)
        self.timers.call_after(delay_s, lambda: self.send_poll(poll_state))
