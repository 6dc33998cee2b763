"""The section of the state dump about queues."""

import msgspec

from guavaroad.services import dispatch


class QueueLine(msgspec.Struct, frozen=True, kw_only=True):
    """Work of one class and team.

    Attributes:
        urgency: Urgency class.
        team: Team.
        jobs: Jobs with waiting or running tasks.
        waiting: Tasks that wait.
        running: Tasks that run.
    """

    urgency: str
    team: str
    jobs: int
    waiting: int
    running: int


class QueuesSection(msgspec.Struct, frozen=True, kw_only=True):
    """Work that waits at this instance.

    Attributes:
        queued_tasks: Tasks that wait.
        by_class_and_team: Work of each class and team.
    """

    queued_tasks: int
    by_class_and_team: tuple[QueueLine, ...]


def describe_queues(dispatcher: dispatch.Dispatcher) -> QueuesSection:
    """Return the section of the queues."""
    return QueuesSection(
        queued_tasks=dispatcher.queue.task_count,
        by_class_and_team=queue_lines(dispatcher),
    )


def queue_lines(dispatcher: dispatch.Dispatcher) -> tuple[QueueLine, ...]:
    """Return the queued work by class and team."""
    lines: dict[tuple[str, str], QueueLine] = {}
    for queued in dispatcher.queue.jobs.values():
        request = queued.job.request
        key = (request.urgency.value, request.team)
        known = lines.get(key, _no_work(*key))
        lines[key] = QueueLine(
            urgency=known.urgency,
            team=known.team,
            jobs=known.jobs + 1,
            waiting=known.waiting + len(queued.waiting),
            running=known.running + queued.running,
        )
    return tuple(lines.values())


def _no_work(urgency: str, team: str) -> QueueLine:
    return QueueLine(urgency=urgency, team=team, jobs=0, waiting=0, running=0)
