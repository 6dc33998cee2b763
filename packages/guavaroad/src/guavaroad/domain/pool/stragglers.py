"""Detection of runs that take far longer than estimated.

Guards against workers that become slow, and against tasks that hang on a worker
that reports itself healthy. Otherwise each such task would hold its job until
the client's timeout.
"""

from typing import Final, Protocol

from guavaroad.domain.pool import (
    allocator_state,
    run_times,
    values,
    worker,
)

# A run is a straggler after this multiple of its expected time plus a fixed
# time, in seconds. Estimates may be off by 40 %, on a worker that is 30 %
# slower; both are known only after some runs.
SUSPECT_RATIO: Final = 2.2
SUSPECT_EXTRA_S: Final = 0.15
# An extra status poll is sent when a run has taken this multiple of its
# estimate plus a fixed time, in seconds; half of the runs end before. The
# expected run time would not do: it contains the delays of lost answers.
OVERDUE_RATIO: Final = 1.2
OVERDUE_EXTRA_S: Final = 0.03
# A run with less than this share of the progress of a steady one hangs.
MIN_PROGRESS_SHARE: Final = 0.5
COMPLETE_PERCENT: Final = 100
# Lower bound of an expected time, in seconds. A shorter one would make every
# run look slow.
MIN_EXPECTED_S: Final = 0.02


class RunStopper(Protocol):
    """Stops runs and logs why.

    Attributes:
        state: State of the allocator.
    """

    state: allocator_state.AllocatorState

    def stop(self, worker_state: worker.Worker, run: worker.Run) -> None:
        """Order a worker to stop a run."""

    def log_moved(self, worker_state: worker.Worker, run: worker.Run) -> None:
        """Log that a run is stopped to start again on another worker."""


def stop_stragglers(
    runs: RunStopper, worker_state: worker.Worker, now_s: float
) -> None:
    """Eject a worker that has stragglers, and stop those worth moving.

    Args:
        runs: Stops runs.
        worker_state: The worker.
        now_s: Current time, in seconds.
    """
    pool = runs.state.pool(worker_state.worker_info.pool)
    for run in tuple(worker_state.runs.values()):
        # An old report does not show the present progress of a run.
        seen_s = min(now_s, worker_state.last_poll_s)
        if run.state is not values.RunState.RUNNING:
            continue
        if not is_straggler(pool.run_times, worker_state, run, seen_s):
            continue
        record_overrun(runs.state, worker_state, run, now_s)
        restart_s = expected_restart_s(pool.run_times, worker_state, run, now_s)
        if is_worth_moving(run, restart_s, now_s):
            run.task.was_moved = True
            runs.log_moved(worker_state, run)
            runs.stop(worker_state, run)


def record_overrun(
    state: allocator_state.AllocatorState,
    worker_state: worker.Worker,
    run: worker.Run,
    now_s: float,
) -> None:
    """Count a straggler once against its worker, and eject that if needed.

    A worker that has ended another run in time meanwhile is not at fault.
    """
    if run.is_overrun:
        return
    run.is_overrun = True
    pool = state.pool(worker_state.worker_info.pool)
    health = worker_state.health
    evidence = pool.overruns.evidence()
    if not health.is_suspected(now_s):
        pool.overruns.record(is_fault=True)
    if health.in_time_s > run.ordered_s:
        return
    if health.record_overrun(evidence, now_s):
        state.log_ejection(worker_state, 'tasks hang or run slowly', now_s)


def needs_extra_poll(
    worker_state: worker.Worker, now_s: float, interval_s: float
) -> bool:
    """Return whether a run should have ended but no report shows its end.

    The answer to the pending status poll may be lost.

    Args:
        worker_state: The worker.
        now_s: Current time, in seconds.
        interval_s: Minimum interval between two extra polls of one worker, in
            seconds.
    """
    if now_s - worker_state.extra_poll_s < interval_s:
        return False
    for run in worker_state.runs.values():
        estimate_s = run.task.estimate_s
        due_s = run.ordered_s + OVERDUE_RATIO * estimate_s + OVERDUE_EXTRA_S
        if worker_state.last_poll_s < due_s < now_s:
            return True
    return False


def is_straggler(
    times: run_times.RunTimes,
    worker_state: worker.Worker,
    run: worker.Run,
    now_s: float,
) -> bool:
    """Return whether a run has taken far longer than expected."""
    expected_s = max(
        times.expected_on_s(run.task, worker_state, now_s), MIN_EXPECTED_S
    )
    elapsed_s = now_s - run.ordered_s
    return elapsed_s > SUSPECT_RATIO * expected_s + SUSPECT_EXTRA_S


def expected_restart_s(
    times: run_times.RunTimes,
    worker_state: worker.Worker,
    run: worker.Run,
    now_s: float,
) -> float:
    """Return the time from a stop to the end of a new run, in seconds.

    If the worker has ended another run in time meanwhile, the task is long
    itself, and would be on any worker of the same speed.
    """
    expected_s = times.expected_s(run.task)
    if run.percent and worker_state.health.in_time_s > run.ordered_s:
        elapsed_s = now_s - run.ordered_s
        here_s = elapsed_s * COMPLETE_PERCENT / run.percent
        expected_here_s = times.expected_on_s(run.task, worker_state, now_s)
        expected_s *= max(here_s / max(expected_here_s, MIN_EXPECTED_S), 1)
    return expected_s + SUSPECT_EXTRA_S


def is_worth_moving(run: worker.Run, restart_s: float, now_s: float) -> bool:
    """Return whether a new run would end in time and before this one.

    A task that straggles on a second worker is long itself; unless it hangs, it
    is not moved again.

    Args:
        run: A straggler.
        restart_s: Time from its stop to the end of a new run, in seconds.
        now_s: Current time, in seconds.
    """
    if now_s + restart_s > run.task.job.answer_by_s:
        return False
    elapsed_s = now_s - run.ordered_s
    done_share = run.percent / COMPLETE_PERCENT
    if not done_share:
        return True
    if run.task.was_moved:
        return False
    left_s = elapsed_s * (1 - done_share) / done_share
    return left_s > restart_s / MIN_PROGRESS_SHARE
