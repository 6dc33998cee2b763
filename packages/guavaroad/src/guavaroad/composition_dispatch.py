"""Builds the parts that schedule tasks and divide slots."""

import random

from guavaroad import composition, settings_slots
from guavaroad.adapters import http_upstreams, metered
from guavaroad.domain.health import rules
from guavaroad.domain.scheduling import admission
from guavaroad.domain.slots import table
from guavaroad.services import configuration, dispatch, health


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
    slots = table.SlotTable(
        chooser=chooser,
        two_choices=base.settings.slots.mode
        is settings_slots.SlotMode.TWO_CHOICES,
    )
    return dispatch.Dispatcher(
        port=upstream_port(base),
        timer_service=base.timers,
        slots=slots,
        health_service=health.HealthService(
            slots=slots, timer_service=base.timers, bounds=rules.Rules()
        ),
        bounds=admission.Bounds(
            tasks=limits.queued_tasks, size_bytes=limits.queued_bytes
        ),
        chooser=chooser,
        configuration=configured.current,
    )
