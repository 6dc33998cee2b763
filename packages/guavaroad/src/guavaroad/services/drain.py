"""Planned stop: refuse new work, end what is in progress, leave.

    SERVING -> FINISHING -> RELEASING -> CLOSING -> ENDED

`FINISHING` hands over what can be handed over and waits until nothing is in
progress; `RELEASING` gives back what is leased; `CLOSING` waits until every
answer is sent and every connection closed.  A second request to stop, or the
bound on the time of the whole stop, ends it at once from any phase.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Any, Final

from twisted.internet import defer
from twisted.python import failure

from guavaroad.ports import logs, timers
from guavaroad.services import decisions

CHECK_PERIOD_S: Final = 0.05
LAST_CALL_S: Final = 1
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
    """Work of one part that is still in progress.

    Attributes:
        part: What is counted.
        count: How many.
    """

    part: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drained:
    """The stop cut nothing.

    Attributes:
        seconds: How long it took.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CutShort:
    """The stop ended with work in progress.

    Attributes:
        reason: Why it did not wait longer.
        cut: What was in progress.
    """

    reason: str
    cut: tuple[Remainder, ...]


DrainResult = Drained | CutShort
Hook = Callable[[], 'defer.Deferred[None] | None']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Watched:
    """A count that must fall to zero.

    Attributes:
        part: What is counted.
        count: Returns how many there are.
        phase: Phase that waits for it.
    """

    part: str
    count: Callable[[], int]
    phase: Phase = Phase.FINISHING


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hooks:
    """What the parts do at a planned stop; a hook may return a Deferred.

    Attributes:
        on_leaving: Called at once, to refuse new work and to tell peers.
        on_handover: Hand over queued work that is recorded.
        on_last_call: Called `LAST_CALL_S` before the bound, to answer work
            that never started.
        on_release: Give back leases once nothing is in progress.
        on_closing: Close ports and connections.
    """

    on_leaving: list[Hook] = dataclasses.field(default_factory=list)
    on_handover: list[Hook] = dataclasses.field(default_factory=list)
    on_last_call: list[Hook] = dataclasses.field(default_factory=list)
    on_release: list[Hook] = dataclasses.field(default_factory=list)
    on_closing: list[Hook] = dataclasses.field(default_factory=list)


class DrainService:
    """State machine of the planned stop.

    Attributes:
        hooks: What the parts do.
        watched: Counts that must fall to zero.
        phase: Present phase.
        pending_hooks: Hooks that have not ended.
        result: How it ended; none while it has not.
        ended: Fires with the result.
    """

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        bound_s: float,
        decisions: decisions.DecisionHistory,
    ) -> None:
        self.timers = timer_service
        self.decisions = decisions
        self.bound_s = bound_s
        self.hooks = Hooks()
        self.watched: list[Watched] = []
        self.phase = Phase.SERVING
        self.pending_hooks = 0
        self.started_s = float(0)
        self.running: list[timers.Timer] = []
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
            part: What is counted, for the log.
            count: Returns how many there are.
            phase: Phase that waits for it.
        """
        self.watched.append(Watched(part=part, count=count, phase=phase))

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
        """Refuse new work and wait for what is in progress."""
        _LOG.info('planned stop begins')
        self.decisions.record('drain', 'planned stop', 'a signal came')
        self.started_s = self.timers.now()
        last_call_s = max(0, self.bound_s - LAST_CALL_S)
        self.phase = Phase.FINISHING
        self.running = [
            self.timers.subscribe(CHECK_PERIOD_S, self.advance),
            self.timers.call_after(last_call_s, self.last_call),
            self.timers.call_after(self.bound_s, self.time_out),
        ]
        self.call(self.hooks.on_leaving)
        self.call(self.hooks.on_handover)

    def advance(self) -> None:
        """Enter the next phase once the present one has nothing to wait for."""
        if self.pending_hooks or self.remainders():
            return
        match self.phase:
            case Phase.FINISHING:
                self.phase = Phase.RELEASING
                self.call(self.hooks.on_release)
            case Phase.RELEASING:
                self.phase = Phase.CLOSING
                self.call(self.hooks.on_closing)
            case Phase.CLOSING:
                self.end(Drained(seconds=self.timers.now() - self.started_s))

    def remainders(self) -> tuple[Remainder, ...]:
        """Return what the present phase still waits for."""
        counted = [
            Remainder(part=one.part, count=one.count())
            for one in self.watched
            if one.phase is self.phase
        ]
        return tuple(one for one in counted if one.count)

    def last_call(self) -> None:
        """Have work that never started answered before the bound."""
        self.call(self.hooks.on_last_call)

    def time_out(self) -> None:
        """End the stop at its bound."""
        self.cut_short(f'the bound of {self.bound_s} s passed')

    def cut_short(self, reason: str) -> None:
        """End the stop with work in progress, and say what is cut."""
        cut = self.remainders()
        for one in cut:
            _LOG.error('cut {} {}: {}', one.count, one.part, reason)
        if self.pending_hooks:
            hooks = Remainder(part='hooks', count=self.pending_hooks)
            cut = (*cut, hooks)
        self.end(CutShort(reason=reason, cut=cut))

    def end(self, result: DrainResult) -> None:
        """Report the result, once."""
        self.phase = Phase.ENDED
        self.result = result
        for timer in self.running:
            timer.cancel()
        _LOG.info('planned stop ended: {}', result)
        self.ended.callback(result)

    def call(self, hooks: list[Hook]) -> None:
        """Call hooks; the phase waits for those that return a Deferred."""
        for hook in hooks:
            self.pending_hooks += 1
            pending: defer.Deferred[Any] = defer.maybeDeferred(hook)
            pending.addErrback(_log_broken)
            pending.addCallback(self.hook_ended)

    def hook_ended(self, _: object) -> None:
        """Count down the hooks that the phase waits for."""
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


def _log_broken(broken: failure.Failure) -> None:
    _LOG.opt(exception=broken.value).error('a hook failed')
