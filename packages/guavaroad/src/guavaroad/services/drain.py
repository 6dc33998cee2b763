"""Planned stop: refuse new work, finish work in progress, exit.

    SERVING -> FINISHING -> RELEASING -> CLOSING -> ENDED

`FINISHING` hands over recorded queued work and waits until no work is in
progress; `RELEASING` returns leases; `CLOSING` waits until every answer is
sent and every connection closed.  A second request to stop, or the time limit
of the whole stop, ends it at once from any phase.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Any, Final

from twisted.internet import defer
from twisted.python import failure

from guavaroad.ports import logs, timers
from guavaroad.services import decisions

CHECK_INTERVAL_S: Final = 0.05
TIME_LIMIT_WARNING_S: Final = 1
_LOG: Final = logs.logger_of('drain')


class Phase(enum.Enum):
    """Phase of the planned stop."""

    SERVING = 'serving'
    FINISHING = 'finishing'
    RELEASING = 'releasing'
    CLOSING = 'closing'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Remainder:
    """Work of one kind that is still in progress.

    Attributes:
        part: Kind of work.
        count: Number of items.
    """

    part: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drained:
    """The stop interrupted no work.

    Attributes:
        seconds: Duration of the stop.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CutShort:
    """The stop ended with work in progress.

    Attributes:
        reason: Why it did not wait longer.
        cut: Work that was in progress.
    """

    reason: str
    cut: tuple[Remainder, ...]


DrainResult = Drained | CutShort
Hook = Callable[[], 'defer.Deferred[None] | None']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchedCount:
    """A count that must fall to zero.

    Attributes:
        part: Kind of work, for the log.
        count: Returns the number of items.
        phase: Phase that waits for it.
    """

    part: str
    count: Callable[[], int]
    phase: Phase = Phase.FINISHING


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hooks:
    """Callbacks of a planned stop; a hook may return a Deferred.

    Attributes:
        on_leaving: Called at once, to refuse new work and to notify peers.
        on_handover: Called at once, to hand over recorded queued work.
        on_time_limit_near: Called `TIME_LIMIT_WARNING_S` before the time
            limit, to answer work that never started.
        on_release: Called when no work is in progress, to return leases.
        on_closing: Called after the release, to close ports and connections.
    """

    on_leaving: list[Hook] = dataclasses.field(default_factory=list)
    on_handover: list[Hook] = dataclasses.field(default_factory=list)
    on_time_limit_near: list[Hook] = dataclasses.field(default_factory=list)
    on_release: list[Hook] = dataclasses.field(default_factory=list)
    on_closing: list[Hook] = dataclasses.field(default_factory=list)


class DrainService:
    """State machine of the planned stop.

    Attributes:
        hooks: Callbacks by phase.
        watched: Counts that must fall to zero.
        phase: Present phase.
        pending_hooks: Number of hooks that have not ended.
        result: Result; none until the stop has ended.
        ended: Fires with the result.
    """

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        time_limit_s: float,
        decisions: decisions.DecisionHistory,
    ) -> None:
        self.timers = timer_service
        self.decisions = decisions
        self.time_limit_s = time_limit_s
        self.hooks = Hooks()
        self.watched: list[WatchedCount] = []
        self.phase = Phase.SERVING
        self.pending_hooks = 0
        self.started_s = float(0)
        self.active_timers: list[timers.Timer] = []
        self.result: DrainResult | None = None
        self.ended: defer.Deferred[DrainResult] = defer.Deferred()

    def watch(
        self,
        part: str,
        count: Callable[[], int],
        phase: Phase = Phase.FINISHING,
    ) -> None:
        """Add a count that must fall to zero before a phase can end.

        Args:
            part: Kind of work, for the log.
            count: Returns the number of items.
            phase: Phase that waits for it.
        """
        self.watched.append(WatchedCount(part=part, count=count, phase=phase))

    def request_stop(self) -> None:
        """Begin the stop; a second request ends it at once."""
        match self.phase:
            case Phase.SERVING:
                self.begin()
            case Phase.ENDED:
                return
            case _:
                self.cut_short('a second signal came')

    def begin(self) -> None:
        """Refuse new work and wait for work in progress."""
        _LOG.info('planned stop begins')
        self.decisions.record('drain', 'planned stop', 'a signal came')
        self.started_s = self.timers.now()
        warning_s = max(0, self.time_limit_s - TIME_LIMIT_WARNING_S)
        self.phase = Phase.FINISHING
        self.active_timers = [
            self.timers.subscribe(CHECK_INTERVAL_S, self.advance),
            self.timers.call_after(warning_s, self.on_time_limit_near),
            self.timers.call_after(self.time_limit_s, self.time_out),
        ]
        self.call_hooks(self.hooks.on_leaving)
        self.call_hooks(self.hooks.on_handover)

    def advance(self) -> None:
        """Enter the next phase if the present one has nothing to wait for."""
        if self.pending_hooks or self.remainders():
            return
        match self.phase:
            case Phase.FINISHING:
                self.phase = Phase.RELEASING
                self.call_hooks(self.hooks.on_release)
            case Phase.RELEASING:
                self.phase = Phase.CLOSING
                self.call_hooks(self.hooks.on_closing)
            case Phase.CLOSING:
                self.end(Drained(seconds=self.timers.now() - self.started_s))

    def remainders(self) -> tuple[Remainder, ...]:
        """Return what the present phase still waits for."""
        counted = [
            Remainder(part=item.part, count=item.count())
            for item in self.watched
            if item.phase is self.phase
        ]
        return tuple(item for item in counted if item.count)

    def on_time_limit_near(self) -> None:
        """Call the hooks that answer work which never started."""
        self.call_hooks(self.hooks.on_time_limit_near)

    def time_out(self) -> None:
        """End the stop at its time limit."""
        self.cut_short(f'the time limit of {self.time_limit_s} s passed')

    def cut_short(self, reason: str) -> None:
        """End the stop with work in progress, and log what is cut."""
        cut = self.remainders()
        for remainder in cut:
            _LOG.error('cut {} {}: {}', remainder.count, remainder.part, reason)
        if self.pending_hooks:
            hooks = Remainder(part='hooks', count=self.pending_hooks)
            cut = (*cut, hooks)
        self.end(CutShort(reason=reason, cut=cut))

    def end(self, result: DrainResult) -> None:
        """Report the result, once."""
        self.phase = Phase.ENDED
        self.result = result
        for timer in self.active_timers:
            timer.cancel()
        _LOG.info('planned stop ended: {}', result)
        self.ended.callback(result)

    def call_hooks(self, hooks: list[Hook]) -> None:
        """Call hooks; the phase waits for those that return a Deferred."""
        for hook in hooks:
            self.pending_hooks += 1
            pending: defer.Deferred[Any] = defer.maybeDeferred(hook)
            pending.addErrback(_log_failed_hook)
            pending.addCallback(self.hook_ended)

    def hook_ended(self, _: object) -> None:
        """Decrement the count of hooks that the phase waits for."""
        self.pending_hooks -= 1


def exit_code(result: DrainResult) -> int:
    """Return the exit code of the process.

    Args:
        result: How the planned stop ended.

    Returns:
        0 only if nothing was cut.
    """
    match result:
        case Drained():
            return 0
        case CutShort():
            return 1


def _log_failed_hook(hook_failure: failure.Failure) -> None:
    _LOG.opt(exception=hook_failure.value).error(
        'a hook of the planned stop failed'
    )
