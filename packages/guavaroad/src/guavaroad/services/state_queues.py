"""Sections of the state dump about queues, slots and upstreams."""

from typing import Any, Final

import msgspec

from guavaroad.domain import names
from guavaroad.domain.slots import table
from guavaroad.services import dispatch, health

_SERVING: Final = 'serving'


class QueuesSection(msgspec.Struct, frozen=True, kw_only=True):
    """Work queued at this instance.

    Attributes:
        queued_tasks: Queued tasks.
        queued_bytes: Size of their payloads, bytes.
        mean_task_s: Mean run time of a task, seconds.
        by_class_and_team: Queued and running tasks by class and team.
    """

    queued_tasks: int
    queued_bytes: int
    mean_task_s: float
    by_class_and_team: list[dict[str, Any]]


class UpstreamEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream as this instance sees it.

    Attributes:
        name: Its name.
        availability_zone: Its zone.
        pool: Its pool.
        address: Address that accepts tasks.
        slots: Tasks it runs at once.
        held: Slots that this instance may use.
        running: Tasks of this instance that run there.
        state: Whether it gets new work from here.
        reason: Why it gets none; empty if it does.
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
) -> tuple[UpstreamEntry, ...]:
    """Return the upstreams as this instance sees them."""
    return tuple(
        upstream_entry(use, dispatcher.health)
        for use in dispatcher.slots.uses.values()
    )


def upstream_entry(
    use: table.UpstreamUse, health_service: health.HealthService
) -> UpstreamEntry:
    """Return one upstream, with the reason if it gets no work."""
    upstream = use.upstream
    state, reason = upstream_state(upstream.name, health_service)
    return UpstreamEntry(
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


def upstream_state(
    name: names.UpstreamName, health_service: health.HealthService
) -> tuple[str, str]:
    """Return the state of an upstream and the reason for it."""
    notice = health_service.departures.notices.get(name)
    if notice is not None:
        source = notice.source.value
        return 'leaving', f'reported by {source}'
    upstream_record = health_service.upstreams.records.get(name)
    if upstream_record is None or not upstream_record.reason:
        return _SERVING, ''
    return upstream_record.state.value, upstream_record.reason
