"""Decodes the outcomes of calls that agents report."""

import collections
from typing import Final

from guavaroad.domain.pool import actions, agent_messages, outcomes, values

# Time for which the number of a start call is known, in seconds. Agents refer
# to it for a shorter time.
CALL_RETENTION_S: Final = 12

CallOutcome = outcomes.OrderOutcome | outcomes.RunReport


class CallOutcomes:
    """Decodes outcomes, in which start calls denote runs.

    Attributes:
        started: Task, run and time of recent starts, by call.
    """

    def __init__(self) -> None:
        self.started: collections.OrderedDict[
            agent_messages.CallNumber,
            tuple[values.TaskName, values.RunNumber, float],
        ] = collections.OrderedDict()

    def record_start(
        self,
        call: agent_messages.CallNumber,
        action: actions.StartRun,
        now_s: float,
    ) -> None:
        """Record which run a call starts, and drop old records."""
        self.started[call] = (action.task, action.number, now_s)
        oldest_s = now_s - CALL_RETENTION_S
        while next(iter(self.started.values()))[-1] < oldest_s:
            self.started.popitem(last=False)

    def decode(self, message: agent_messages.FromAgent) -> CallOutcome:
        """Return the outcome that an agent reports."""
        match message:
            case agent_messages.CallUnanswered():
                return outcomes.NoAnswer(detail=message.detail)
            case agent_messages.CallAnswered(refusal=''):
                return outcomes.Accepted(clock_ms=message.clock_ms)
            case agent_messages.CallAnswered():
                return refusal_of(message)
        try:
            return self.report_of(message)
        except KeyError as error:
            return outcomes.NoAnswer(detail=f'unknown call {error} in a report')

    def report_of(
        self, message: agent_messages.WorkerReport
    ) -> outcomes.RunReport:
        """Return a run report.

        Raises:
            KeyError: It refers to a call that is not known any more.
        """
        running = [
            (*self.started[call][:2], percent)
            for call, percent in message.running
        ]
        ended = [
            (position, *self.started[call][:2], kind)
            for position, call, kind in message.ended
        ]
        running.extend(message.other_running)
        ended.extend(message.other_ended)
        ended.sort(key=_position_of)
        return outcomes.RunReport(
            clock_ms=message.clock_ms,
            started_ms=message.started_ms,
            running=tuple(map(_listed_run, running)),
            ended=tuple(map(_listed_end, ended)),
        )


def refusal_of(message: agent_messages.CallAnswered) -> CallOutcome:
    """Return the refusal that an agent reports."""
    try:
        reason = outcomes.Refusal(message.refusal)
    except ValueError as error:
        return outcomes.NoAnswer(detail=str(error))
    return outcomes.Refused(reason=reason, clock_ms=message.clock_ms)


def _listed_run(
    row: tuple[values.TaskName, values.RunNumber, int],
) -> outcomes.ListedRun:
    task, run, percent = row
    return outcomes.ListedRun(task=task, number=run, percent=percent)


def _listed_end(
    row: tuple[int, values.TaskName, values.RunNumber, values.EndKind],
) -> outcomes.ListedEnd:
    position, task, run, kind = row
    return outcomes.ListedEnd(
        position=position, task=task, number=run, kind=kind
    )


def _position_of(end: tuple[int, object, object, object]) -> int:
    return end[0]
