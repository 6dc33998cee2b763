"""Sections of the state dump about queues, slots and upstreams."""

from typing import Any, Final

import msgspec

from guavaroad.domain import names
from guavaroad.domain.slots import table
from guavaroad.services import dispatch, health

_SERVING: Final = 'serving'


class QueuesSection(msgspec.Struct, frozen=True, kw_only=True):
    """Work that waits at this instance.

    Attributes:
        queued_tasks: Tasks that wait.
        queued_bytes: Bytes of their payloads.
        mean_task_s: Mean run time of a task, seconds.
        by_class_and_team: Waiting and running tasks of each.
    """

    queued_tasks: int
    queued_bytes: int
    mean_task_s: float
    by_class_and_team: list[dict[str, Any]]


class UpstreamState(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream as this instance sees it.

    Attributes:
        name: Its name.
        availability_zone: Its zone.
        pool: Its pool.
        address: Where it takes tasks.
        slots: Tasks it runs at once.
        held: Slots that this instance may fill.
        running: Tasks of this instance that run there.
        state: Whether it gets new work from here.
        reason: Why it gets none, empty if it does.
    """

    name: str
    availability_zone: str
    pool: str
    address: str
    slots: int
    held: int
    running: int
    state: str
    reason: str


def describe_queues(dispatcher: dispatch.Dispatcher) -> QueuesSection:
    """Return the section of the queues."""
    queue = dispatcher.queue
    return QueuesSection(
        queued_tasks=queue.task_count,
        queued_bytes=queue.size_bytes,
        mean_task_s=round(queue.run_times.overall_s, 4),
        by_class_and_team=queue.describe(),
    )


def describe_upstreams(
    dispatcher: dispatch.Dispatcher,
) -> tuple[UpstreamState, ...]:
    """Return the upstreams as this instance sees them."""
    return tuple(
        upstream_line(use, dispatcher.health)
        for use in dispatcher.slots.uses.values()
    )


def upstream_line(
    use: table.UpstreamUse, known: health.HealthService
) -> UpstreamState:
    """Return one upstream with the reason if it gets no work."""
    upstream = use.upstream
    state, reason = standing(upstream.name, known)
    return UpstreamState(
        name=upstream.name,
        availability_zone=upstream.availability_zone,
        pool=upstream.pool,
        address=upstream.address,
        slots=upstream.slots,
        held=use.share,
        running=use.running,
        state=state,
        reason=reason,
    )


def standing(
    name: names.UpstreamName, known: health.HealthService
) -> tuple[str, str]:
    """Return the state of an upstream and the reason for it."""
    notice = known.leaving.notices.get(name)
    if notice is not None:
        told_by = notice.source.value
        return 'leaving', f'told by {told_by}'
    found = known.upstreams.records.get(name)
    if found is None or not found.reason:
        return _SERVING, ''
    return found.state.value, found.reason
