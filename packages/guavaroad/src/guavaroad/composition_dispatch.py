"""Builds the parts that schedule tasks and divide slots."""

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

_MS = 1000

Keeper = slots.SlotLeaseService | equal_slots.EqualSlots


def upstream_port(base: composition.Foundation) -> metered.MeteredUpstreams:
    """Return the way to the upstreams."""
    return metered.MeteredUpstreams(
        inner=http_upstreams.HttpUpstreams(
            client=base.client,
            attempt_timeout_s=base.settings.limits.attempt_timeout_s,
        ),
        sink=base.metrics,
        timer_service=base.timers,
    )


def dispatcher(
    base: composition.Foundation,
    configured: configuration.ConfigurationService,
) -> dispatch.Dispatcher:
    """Return the part that starts queued tasks."""
    limits = base.settings.limits
    chooser = random.Random()
    slot_table = table.SlotTable(
        rng=chooser,
        two_choices=base.settings.slots.mode
        is settings_slots.SlotMode.TWO_CHOICES,
    )
    return dispatch.Dispatcher(
        port=upstream_port(base),
        timer_service=base.timers,
        slots=slot_table,
        health_service=health.HealthService(
            slots=slot_table, timer_service=base.timers, bounds=rules.Rules()
        ),
        bounds=admission.Bounds(
            tasks=limits.queued_tasks, size_bytes=limits.queued_bytes
        ),
        rng=chooser,
        configuration=configured.current,
    )


def slot_keeper(
    base: composition.Foundation,
    dispatching: dispatch.Dispatcher,
    bus: peers.PeerBus,
    members: peers.MembershipPort,
) -> Keeper:
    """Return the part that decides which slots this instance may fill."""
    tell_leaving(dispatching.health, bus, members)
    mode = base.settings.slots.mode
    match mode:
        case settings_slots.SlotMode.STATIC:
            return equal_slots.EqualSlots(
                dispatcher=dispatching, own=base.incarnation.address
            )
        case settings_slots.SlotMode.TWO_CHOICES:
            return equal_slots.EqualSlots(dispatcher=dispatching, own=None)
    return leases(base, dispatching, bus, members)


def leases(
    base: composition.Foundation,
    dispatching: dispatch.Dispatcher,
    bus: peers.PeerBus,
    members: peers.MembershipPort,
) -> slots.SlotLeaseService:
    """Return the holder of leased slots."""
    chosen = base.settings.slots
    moves = chosen.mode is settings_slots.SlotMode.LEASES
    zones = map(names.AvailabilityZone, chosen.nearest_zones)
    allocating = allocation.ZoneAllocator(
        zone=base.incarnation.availability_zone,
        timer_service=base.timers,
        tick_s=chosen.tick_ms / _MS,
        lease_s=chosen.lease_s,
        moves=moves,
    )
    return slots.SlotLeaseService(
        dispatcher=dispatching,
        timer_service=base.timers,
        links=allocation.AllocatorLinks(
            own=own_peer(base),
            nearest_zones=tuple(zones),
            bus=bus,
            members=members,
            timer_service=base.timers,
            zone_allocator=allocating,
        ),
        times=slots.LeaseTimes(
            tick_s=chosen.tick_ms / _MS,
            lease_s=chosen.lease_s,
            idle_timeout_s=chosen.linger_s,
            fallback_timeout_s=chosen.fallback_s,
            idle_reserve=chosen.stock,
        ),
        moves=moves,
    )


def own_peer(base: composition.Foundation) -> peers.Peer:
    """Return this instance as its peers see it."""
    return peers.Peer(
        incarnation=base.incarnation,
        peer_address=names.PeerAddress(base.settings.instance.peer_address),
        state=peers.PeerState.ALIVE,
    )


def tell_leaving(
    health_service: health.HealthService,
    bus: peers.PeerBus,
    members: peers.MembershipPort,
) -> None:
    """Pass on notices of leaving upstreams, and take those of peers."""
    teller = slots.LeavingNotifier(bus=bus, members=members)
    health_service.on_upstream_leaving.append(teller.notify_peers)
    bus.subscribe(messages.LeavingNotice, health_service.on_leaving_notice)
