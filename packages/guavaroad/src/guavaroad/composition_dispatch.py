"""Creates the services that dispatch tasks and assign slots."""

import random

from guavaroad import composition, settings_slots
from guavaroad.adapters import http_upstreams, metered
from guavaroad.domain import names
from guavaroad.domain.health import rules
from guavaroad.domain.scheduling import admission
from guavaroad.domain.slots import messages, table
from guavaroad.ports import peers
from guavaroad.services import (
    allocation,
    configuration,
    dispatch,
    equal_slots,
    health,
    slots,
)

_MS_PER_S = 1000

SlotService = slots.SlotLeaseService | equal_slots.EqualSlots


def upstream_port(core: composition.CoreServices) -> metered.MeteredUpstreams:
    """Create the client of the upstreams, with metrics."""
    return metered.MeteredUpstreams(
        inner=http_upstreams.HttpUpstreams(
            client=core.client,
            attempt_timeout_s=core.settings.limits.attempt_timeout_s,
        ),
        sink=core.metrics,
        timer_service=core.timers,
    )


def dispatcher(
    core: composition.CoreServices,
    configuration_service: configuration.ConfigurationService,
) -> dispatch.Dispatcher:
    """Create the dispatcher."""
    limits = core.settings.limits
    rng = random.Random()
    slot_table = table.SlotTable(
        rng=rng,
        two_choices=core.settings.slots.mode
        is settings_slots.SlotMode.TWO_CHOICES,
    )
    return dispatch.Dispatcher(
        port=upstream_port(core),
        timer_service=core.timers,
        slots=slot_table,
        health_service=health.HealthService(
            slots=slot_table, timer_service=core.timers, bounds=rules.Rules()
        ),
        bounds=admission.Bounds(
            tasks=limits.queued_tasks, size_bytes=limits.queued_bytes
        ),
        rng=rng,
        configuration=configuration_service.current,
    )


def slot_service(
    core: composition.CoreServices,
    task_dispatcher: dispatch.Dispatcher,
    bus: peers.PeerBus,
    membership_port: peers.MembershipPort,
) -> SlotService:
    """Create the service that assigns slots to this instance."""
    relay_leaving_notices(task_dispatcher.health, bus, membership_port)
    mode = core.settings.slots.mode
    match mode:
        case settings_slots.SlotMode.STATIC:
            return equal_slots.EqualSlots(
                dispatcher=task_dispatcher, own=core.incarnation.address
            )
        case settings_slots.SlotMode.TWO_CHOICES:
            return equal_slots.EqualSlots(dispatcher=task_dispatcher, own=None)
    return slot_lease_service(core, task_dispatcher, bus, membership_port)


def slot_lease_service(
    core: composition.CoreServices,
    task_dispatcher: dispatch.Dispatcher,
    bus: peers.PeerBus,
    membership_port: peers.MembershipPort,
) -> slots.SlotLeaseService:
    """Create the service that leases slots from the allocators."""
    slot_settings = core.settings.slots
    moves_slots = slot_settings.mode is settings_slots.SlotMode.LEASES
    zones = map(names.AvailabilityZone, slot_settings.nearest_zones)
    zone_allocator = allocation.ZoneAllocator(
        zone=core.incarnation.availability_zone,
        timer_service=core.timers,
        tick_s=slot_settings.tick_ms / _MS_PER_S,
        lease_s=slot_settings.lease_s,
        rebalances=moves_slots,
    )
    return slots.SlotLeaseService(
        dispatcher=task_dispatcher,
        timer_service=core.timers,
        links=allocation.AllocatorLinks(
            own=own_peer(core),
            nearest_zones=tuple(zones),
            bus=bus,
            members=membership_port,
            timer_service=core.timers,
            zone_allocator=zone_allocator,
        ),
        times=slots.LeaseTimes(
            tick_s=slot_settings.tick_ms / _MS_PER_S,
            lease_s=slot_settings.lease_s,
            idle_timeout_s=slot_settings.linger_s,
            fallback_timeout_s=slot_settings.fallback_s,
            idle_reserve=slot_settings.stock,
        ),
        rebalances=moves_slots,
    )


def own_peer(core: composition.CoreServices) -> peers.Peer:
    """Return this instance as its peers see it."""
    return peers.Peer(
        incarnation=core.incarnation,
        peer_address=names.PeerAddress(core.settings.instance.peer_address),
        state=peers.PeerState.ALIVE,
    )


def relay_leaving_notices(
    health_service: health.HealthService,
    bus: peers.PeerBus,
    membership_port: peers.MembershipPort,
) -> None:
    """Exchange notices about leaving upstreams with peers."""
    notifier = slots.LeavingNotifier(bus=bus, members=membership_port)
    health_service.on_upstream_leaving.append(notifier.notify_peers)
    bus.subscribe(messages.LeavingNotice, health_service.on_leaving_notice)
