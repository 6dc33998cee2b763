"""Registers the sections of an instance's state dump."""

import functools

from guavaroad import composition
from guavaroad.adapters import nng_peers
from guavaroad.services import (
    configuration,
    dispatch,
    drain,
    outcomes,
    state,
    state_queues,
    state_sections,
)


class InstanceDescription:
    """Describes the identity and readiness of the process."""

    def __init__(
        self,
        *,
        core: composition.CoreServices,
        configuration_service: configuration.ConfigurationService,
        drain_service: drain.DrainService,
    ) -> None:
        self.core = core
        self.configuration_service = configuration_service
        self.drain_service = drain_service
        self.started_s = core.timers.now()

    def why_not_ready(self) -> str:
        """Return why the instance is not ready, or an empty text."""
        if self.drain_service.phase is not drain.Phase.SERVING:
            return 'a planned stop is in progress'
        if self.configuration_service.in_force is None:
            return 'no configuration is known yet'
        return ''

    def describe(self) -> state_sections.InstanceSection:
        """Return the section about the instance."""
        incarnation = self.core.incarnation
        reason = self.why_not_ready()
        return state_sections.InstanceSection(
            availability_zone=incarnation.availability_zone,
            address=incarnation.address,
            epoch=incarnation.epoch,
            phase=self.drain_service.phase,
            ready=not reason,
            why_not_ready=reason,
            uptime_s=round(self.core.timers.now() - self.started_s, 3),
        )


def add_workload_sections(
    dump: state.StateDump,
    core: composition.CoreServices,
    outcome_cache: outcomes.OutcomeCache,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Add the sections about submissions, queues, upstreams and health."""
    dump.add(
        'submissions',
        functools.partial(
            state_sections.describe_submissions, outcome_cache, core.incarnation
        ),
    )
    dump.add(
        'queues', functools.partial(state_queues.describe_queues, dispatcher)
    )
    dump.add(
        'upstreams',
        functools.partial(state_queues.describe_upstreams, dispatcher),
    )
    dump.add('health', dispatcher.health.describe)


def add_context_sections(
    dump: state.StateDump,
    core: composition.CoreServices,
    configuration_service: configuration.ConfigurationService,
    bus: nng_peers.NngBus,
) -> None:
    """Add the sections about configuration, peers and decisions."""
    dump.add(
        'configuration',
        functools.partial(
            state_sections.describe_configuration, configuration_service
        ),
    )
    dump.add('peers', bus.describe)
    dump.add('decisions', core.decisions.describe)
